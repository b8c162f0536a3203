package org.ibisstand.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
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
import org.ibisstand.agent.AgentDaemon;
import org.ibisstand.base.Digests;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.control.ControlDaemon;
import org.ibisstand.control.ReplicatedLog;
import org.ibisstand.entry.EntryDaemon;
import org.ibisstand.fakes.FakeEngine;
import org.ibisstand.fakes.FakeEngineOptions;
import org.ibisstand.fakes.FakeService;
import org.ibisstand.operator.AdministrationClient;
import org.ibisstand.operator.ConfigurationBuilder;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.SettingsReader;

/** A control member, an entry, and an engine and a service with their agents, in this process. */
final class LocalSystem implements AutoCloseable {
    static final String TEAM_TOKEN = "team-token";
    static final int MAXIMUM_BODY_BYTES = 65536;
    private static final String OPERATOR_TOKEN = "operator-token";
    private static final int PIECE_BYTES = 64;

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final SettingsReader mReader = SettingsReader.create();
    private final List<AutoCloseable> mParts = new ArrayList<>();
    private final FakeEngine mEngine;
    private final FakeService mService;
    private final AgentDaemon mEngineAgent;
    private final EntryDaemon mEntry;
    private final ControlDaemon mControl;

    private LocalSystem(Path folder, FakeEngineOptions options) throws Exception {
        mEngine = add(FakeEngine.start(options, MonotonicClock.start()));
        mService = add(FakeService.start("127.0.0.1", 0));
        mControl = add(startControl(folder));
        String addresses = ",'control_addresses':['127.0.0.1:" + mControl.port() + "']";
        mEngineAgent =
                add(
                        startAgent(
                                "engine-agent",
                                "'kind':'engine','base_url':'"
                                        + mEngine.baseUrl()
                                        + "','models':[{'model':'m','weights_version':'1'}],"
                                        + "'events_path':'/events'",
                                addresses));
        add(
                startAgent(
                        "service-agent",
                        "'kind':'plain_service','services':['desk'],'base_url':'http://127.0.0.1:"
                                + mService.port()
                                + "'",
                        addresses));
        mEntry = add(startEntry(addresses));
        applyConfiguration(mControl.administrationPort());
        awaitServing();
    }

    static LocalSystem start(Path folder) throws Exception {
        return start(
                folder,
                FakeEngineOptions.serving("m", "1")
                        .withCache(PIECE_BYTES, 1024)
                        .withSpeed(4, 1e6, 1, 0));
    }

    static LocalSystem start(Path folder, FakeEngineOptions options) throws Exception {
        return new LocalSystem(folder, options);
    }

    FakeEngine engine() {
        return mEngine;
    }

    FakeService service() {
        return mService;
    }

    AgentDaemon engineAgent() {
        return mEngineAgent;
    }

    EntryDaemon entry() {
        return mEntry;
    }

    HttpResponse<String> send(String method, String path, String body, String... headers)
            throws Exception {
        return sendLater(method, path, body, headers).get();
    }

    CompletableFuture<HttpResponse<String>> sendLater(
            String method, String path, String body, String... headers) {
        URI target = URI.create("http://127.0.0.1:" + mEntry.port() + path);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(target)
                        .timeout(Duration.ofSeconds(20))
                        .method(
                                method,
                                HttpRequest.BodyPublishers.ofString(body.replace('\'', '"')));
        for (int index = 0; index < headers.length; index += 2) {
            request.header(headers[index], headers[index + 1]);
        }
        return mClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a well-formed completion, which must be answered whatever came before. */
    HttpResponse<String> complete() throws Exception {
        return send(
                "POST",
                "/v1/completions",
                "{'model':'m','prompt':'hello','max_tokens':3}",
                "Authorization",
                "Bearer " + TEAM_TOKEN);
    }

    /** Asks the administration port of the entry, the engine's agent or control. */
    JsonNode administration(String role, String path) throws Exception {
        int port =
                switch (role) {
                    case "Entry" -> mEntry.administrationPort();
                    case "Agent" -> mEngineAgent.administrationPort();
                    default -> mControl.administrationPort();
                };
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .header("Authorization", "Bearer " + OPERATOR_TOKEN)
                        .build();
        String body = mClient.send(request, HttpResponse.BodyHandlers.ofString()).body();
        return JsonMapper.builder().build().readTree(body);
    }

    String engineState() throws Exception {
        URI target = URI.create(mEngine.baseUrl() + "/admin/state");
        HttpRequest request = HttpRequest.newBuilder(target).build();
        return mClient.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable part : mParts.reversed()) {
            part.close();
        }
    }

    private <T extends AutoCloseable> T add(T part) {
        mParts.add(part);
        return part;
    }

    private ControlDaemon startControl(Path folder) {
        String settings =
                "{'member':'c','members':[{'member':'c','address':'127.0.0.1:1'}],"
                        + "'data_folder':'"
                        + folder.resolve("data")
                        + "','wire':{'host':'127.0.0.1','port':0}"
                        + common();
        return ControlDaemon.start(mReader.readControl(json(settings)), ReplicatedLog::open);
    }

    private AgentDaemon startAgent(String name, String backend, String addresses) {
        String settings =
                "{'agent':'"
                        + name
                        + "','wire':{'host':'127.0.0.1','port':0},'backend':{'slots':4,"
                        + backend
                        + "}"
                        + addresses
                        + common();
        return AgentDaemon.start(mReader.readAgent(json(settings)));
    }

    private EntryDaemon startEntry(String addresses) {
        String settings =
                "{'process':'e','caller':{'host':'127.0.0.1','port':0},'limits':{"
                        + "'maximum_header_bytes':8192,'maximum_body_bytes':"
                        + MAXIMUM_BODY_BYTES
                        + "},'timing':{'request_timeout_milliseconds':500,"
                        + "'balancer_wait_milliseconds':0}"
                        + addresses
                        + common();
        return EntryDaemon.start(mReader.readEntry(json(settings)));
    }

    private static void applyConfiguration(int administrationPort) {
        byte[] configuration =
                ConfigurationBuilder.create()
                        .priorityClass("default", one -> one.rank(0))
                        .model("m", one -> one.pieceBytes(PIECE_BYTES))
                        .model("private", one -> one.pieceBytes(PIECE_BYTES))
                        .service("desk", one -> one.idempotent("GET", "/").nonIdempotent("*", "/"))
                        .team("t", one -> one.token(TEAM_TOKEN).model("m").service("desk"))
                        .print();
        Address address = new Address("127.0.0.1", administrationPort);
        try (AdministrationClient client =
                AdministrationClient.create(List.of(address), OPERATOR_TOKEN)) {
            client.applyConfiguration(configuration, 0, "first");
        }
    }

    private void awaitServing() throws Exception {
        while (complete().statusCode() != 200 || lookUp().statusCode() != 200) {
            Thread.onSpinWait();
        }
    }

    private HttpResponse<String> lookUp() throws Exception {
        return send("GET", "/services/desk/rosters", "", "Authorization", "Bearer " + TEAM_TOKEN);
    }

    private static String common() {
        return ",'zone':'a','administration':{'host':'127.0.0.1','port':0,"
                + "'operator_token_sha256':'"
                + Digests.hexadecimal(OPERATOR_TOKEN)
                + "'}}";
    }

    private static byte[] json(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }
}
