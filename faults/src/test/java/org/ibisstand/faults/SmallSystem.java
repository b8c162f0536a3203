package org.ibisstand.faults;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.ibisstand.agent.AgentDaemon;
import org.ibisstand.base.Digests;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.control.ControlDaemon;
import org.ibisstand.control.ReplicatedLog;
import org.ibisstand.entry.EntryDaemon;
import org.ibisstand.fakes.FakeEngine;
import org.ibisstand.fakes.FakeEngineOptions;
import org.ibisstand.fakes.FakeService;
import org.ibisstand.settings.SettingsReader;

/**
 * One control member, two agents and two entries in this process, with a proxy on every link.
 *
 * <p>Agents bind 127.0.0.2 and advertise 127.0.0.1 with the same port, where their proxy listens.
 */
final class SmallSystem implements AutoCloseable {
    static final String TEAM_TOKEN = "team-token";
    private static final String OPERATOR_TOKEN = "operator-token";
    private static final String LOOPBACK = "127.0.0.1";
    private static final String HIDDEN = "127.0.0.2";
    private static final Duration PATIENCE = Duration.ofSeconds(60);

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final SettingsReader mReader = SettingsReader.create();
    private final List<AutoCloseable> mParts = new ArrayList<>();
    private final Path mFolder;
    private final FakeService mService;
    private final FakeEngine mEngine;
    private ControlDaemon mControl;
    private LinkProxy mAgentsToControl;
    private LinkProxy mEntriesToControl;
    private final List<AgentDaemon> mAgents = new ArrayList<>();
    private final List<LinkProxy> mAgentLinks = new ArrayList<>();
    private final List<EntryDaemon> mEntries = new ArrayList<>();

    SmallSystem(Path folder) {
        mFolder = folder;
        mService = keep(FakeService.start(LOOPBACK, 0));
        mEngine =
                keep(
                        FakeEngine.start(
                                FakeEngineOptions.serving("contracts", "1")
                                        .withSpeed(8, 400, 4, 100),
                                MonotonicClock.start()));
        startControl();
    }

    FakeService service() {
        return mService;
    }

    FakeEngine engine() {
        return mEngine;
    }

    AgentDaemon agent(int number) {
        return mAgents.get(number);
    }

    EntryDaemon entry(int number) {
        return mEntries.get(number);
    }

    LinkProxy linkToAgent(int number) {
        return mAgentLinks.get(number);
    }

    LinkProxy agentsToControl() {
        return mAgentsToControl;
    }

    LinkProxy entriesToControl() {
        return mEntriesToControl;
    }

    void startAgent(String backend) {
        String json =
                """
                {"agent": "agent-%d", "zone": "zone-1",
                 "wire": {"host": "%s", "port": %d, "advertised_host": "%s"},
                 "administration": %s, "control_addresses": ["%s:%d"], "backend": %s}
                """
                        .formatted(
                                mAgents.size(),
                                HIDDEN,
                                FreePorts.next(),
                                LOOPBACK,
                                administration(),
                                LOOPBACK,
                                mAgentsToControl.port(),
                                backend);
        AgentDaemon agent = keep(AgentDaemon.start(mReader.readAgent(bytes(json))));
        mAgents.add(agent);
        InetSocketAddress listen = new InetSocketAddress(LOOPBACK, agent.port());
        InetSocketAddress target = new InetSocketAddress(HIDDEN, agent.port());
        mAgentLinks.add(keep(LinkProxy.start(mGroup, listen, target)));
    }

    void startServiceAgent() {
        startAgent(
                """
                {"kind": "plain_service", "base_url": "http://%s:%d",
                 "services": ["orders"], "slots": 4}
                """
                        .formatted(LOOPBACK, mService.port()));
    }

    void startEngineAgent() {
        startAgent(
                """
                {"kind": "engine", "base_url": "%s", "slots": 8,
                 "models": [{"model": "contracts", "weights_version": "1"}],
                 "events_path": "/events"}
                """
                        .formatted(mEngine.baseUrl()));
    }

    EntryDaemon startEntry() {
        String json =
                """
                {"process": "entry-%d", "zone": "zone-1", "caller": {"host": "%s", "port": 0},
                 "administration": %s, "control_addresses": ["%s:%d"], "state_folder": "%s",
                 "timing": {"balancer_wait_milliseconds": 0}}
                """
                        .formatted(
                                mEntries.size(),
                                LOOPBACK,
                                administration(),
                                LOOPBACK,
                                mEntriesToControl.port(),
                                mFolder.resolve("entry"));
        EntryDaemon entry = keep(EntryDaemon.start(mReader.readEntry(bytes(json))));
        mEntries.add(entry);
        return entry;
    }

    void applyConfiguration(int deadlineMilliseconds) {
        String json =
                """
                {"teams": [{"name": "buyers", "token_sha256": ["%s"], "weight": 1,
                  "maximum_concurrent_requests": 100, "requests_per_second": 1000,
                  "models": ["contracts"], "services": ["orders"]}],
                 "models": [{"name": "contracts", "weights_version": "1",
                  "priority_class": "interactive", "piece_bytes": 1024}],
                 "services": [{"name": "orders", "priority_class": "interactive", "calls": [
                  {"method": "GET", "path_prefix": "/", "idempotent": true},
                  {"method": "POST", "path_prefix": "/", "idempotent": false}]}],
                 "priority_classes": [{"name": "interactive", "rank": 0,
                  "first_token_milliseconds": 1000, "deadline_milliseconds": %d}]}
                """
                        .formatted(Digests.hexadecimal(TEAM_TOKEN), deadlineMilliseconds);
        String path = "/configuration?expected_revision=0&change=first";
        await(() -> sendConfiguration(path, json) == 200);
    }

    void awaitAgents(int count) {
        for (EntryDaemon entry : mEntries) {
            await(() -> isReady(entry) && connectedAgents(entry) >= count);
        }
    }

    private boolean isReady(EntryDaemon entry) {
        HttpRequest request = administrationCall(entry.administrationPort(), "/ready").build();
        return send(request).statusCode() == 200;
    }

    int connectedAgents(EntryDaemon entry) {
        String state = administrationGet(entry.administrationPort(), "/state");
        return state.split("\"connected\" : true", -1).length - 1;
    }

    String controlState() {
        return administrationGet(mControl.administrationPort(), "/state");
    }

    /** Sends an order and returns the answer once it is there. */
    CompletableFuture<HttpResponse<String>> order(int entry, String key) {
        HttpRequest request =
                call(entry, "/services/orders/purchases")
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString("{\"lot\": 7}"))
                        .build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> lookUp(int entry) {
        HttpRequest request = call(entry, "/services/orders/stock").GET().build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> prompt(int entry, String text, int tokens) {
        String body =
                """
                {"model": "contracts", "stream": true, "max_tokens": %d, "prompt": "%s"}
                """
                        .formatted(tokens, text);
        HttpRequest request =
                call(entry, "/v1/completions")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a prompt with the client's default, which offers an upgrade to HTTP/2. */
    CompletableFuture<HttpResponse<String>> promptOfferingUpgrade(String text) {
        String body = "{\"model\": \"contracts\", \"prompt\": \"%s\"}".formatted(text);
        HttpRequest request =
                call(0, "/v1/completions")
                        .version(HttpClient.Version.HTTP_2)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    static String verdictOf(HttpResponse<String> response) {
        return response.headers().firstValue("ibisstand-verdict").orElse("none");
    }

    /** Waits until a condition holds, polling it; fails the test if it never does. */
    static void await(BooleanSupplier condition) {
        MonotonicClock clock = MonotonicClock.start();
        var limit = clock.instant().plus(PATIENCE);
        while (!condition.getAsBoolean()) {
            if (clock.instant().isAfter(limit)) {
                throw new AssertionError("the condition never held");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable part : mParts.reversed()) {
            part.close();
        }
        mClient.shutdownNow();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    void closeControl() {
        mControl.close();
    }

    private void startControl() {
        InetSocketAddress free = new InetSocketAddress(LOOPBACK, 0);
        String json =
                """
                {"member": "control-1", "zone": "zone-1", "wire": {"host": "%s", "port": %d},
                 "administration": %s, "data_folder": "%s",
                 "members": [{"member": "control-1", "address": "%s:%d"}]}
                """;
        int port = FreePorts.next();
        String settings =
                json.formatted(
                        HIDDEN, port, administration(), mFolder.resolve("control"), HIDDEN, port);
        mControl =
                keep(
                        ControlDaemon.start(
                                mReader.readControl(bytes(settings)), ReplicatedLog::open));
        InetSocketAddress target = new InetSocketAddress(HIDDEN, port);
        mAgentsToControl = keep(LinkProxy.start(mGroup, free, target));
        mEntriesToControl = keep(LinkProxy.start(mGroup, free, target));
    }

    private int sendConfiguration(String path, String json) {
        HttpRequest request =
                administrationCall(mControl.administrationPort(), path)
                        .POST(HttpRequest.BodyPublishers.ofString(json))
                        .build();
        return send(request).statusCode();
    }

    private String administrationGet(int port, String path) {
        return send(administrationCall(port, path).GET().build()).body();
    }

    private HttpResponse<String> send(HttpRequest request) {
        try {
            return mClient.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private HttpRequest.Builder call(int entry, String path) {
        return HttpRequest.newBuilder(
                        URI.create("http://" + LOOPBACK + ":" + mEntries.get(entry).port() + path))
                .version(HttpClient.Version.HTTP_1_1)
                .header("Authorization", "Bearer " + TEAM_TOKEN);
    }

    private static HttpRequest.Builder administrationCall(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + LOOPBACK + ":" + port + path))
                .version(HttpClient.Version.HTTP_1_1)
                .header("Authorization", "Bearer " + OPERATOR_TOKEN);
    }

    private static String administration() {
        return "{\"host\": \"%s\", \"port\": 0, \"operator_token_sha256\": \"%s\"}"
                .formatted(LOOPBACK, Digests.hexadecimal(OPERATOR_TOKEN));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private <T extends AutoCloseable> T keep(T part) {
        mParts.add(part);
        return part;
    }
}
