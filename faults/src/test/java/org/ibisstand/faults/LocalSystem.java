package org.ibisstand.faults;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.ibisstand.base.Digests;

/** Three control members, two entries, an engine and a service with an agent each. */
final class LocalSystem {
    static final int FIRST_CONTROL = 1;

    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String TEAM_TOKEN = "buyers-token";
    private static final String OPERATOR_TOKEN = "operator-token";
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
    private static final int TRIES = 1200;
    private static final long PAUSE_MILLISECONDS = 50;
    private static final int OK = 200;

    private final Path mFolder;
    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Map<String, Integer> mPorts = new LinkedHashMap<>();
    private final Map<String, LocalProcess> mProcesses = new LinkedHashMap<>();

    LocalSystem(Path folder) {
        mFolder = folder;
    }

    void start() {
        add("engine", engineArguments());
        add("service", List.of("fake-service", "--port", "" + port("service")));
        for (int member = FIRST_CONTROL; member <= 3; member++) {
            addDaemon("control", member, controlSettings(member));
        }
        addDaemon("agent", 1, agentSettings(1, engineBackend()));
        addDaemon("agent", 2, agentSettings(2, serviceBackend()));
        addDaemon("entry", 1, entrySettings(1));
        addDaemon("entry", 2, entrySettings(2));
        mProcesses.values().forEach(LocalProcess::start);
        await("a configuration", this::configure);
        await("entry-1", () -> knowsAgents(1));
        await("entry-2", () -> knowsAgents(2));
    }

    void stop() {
        mProcesses.values().forEach(LocalProcess::kill);
        mHttp.close();
    }

    LocalProcess process(String name) {
        return mProcesses.get(name);
    }

    /** Returns the process that leads control. */
    LocalProcess leader() {
        for (int member = FIRST_CONTROL; member <= 3; member++) {
            String page = operator("GET", "control-" + member + "-admin", "/members", "").body();
            if (page.contains("\"LEADER\"")) {
                return process("control-" + member);
            }
        }
        throw new AssertionError("no member leads");
    }

    boolean configure() {
        for (int member = FIRST_CONTROL; member <= 3; member++) {
            String path = "/configuration?expected_revision=0&change=first";
            String admin = "control-" + member + "-admin";
            if (operator("POST", admin, path, configuration()).status() == OK) {
                return true;
            }
        }
        return false;
    }

    private boolean knowsAgents(int entry) {
        Answer state = operator("GET", "entry-" + entry + "-admin", "/state", "");
        return state.body().split("\"connected\" : true", -1).length > 2;
    }

    /** Sends an order through an entry. */
    CompletableFuture<Answer> order(int entry, String key) {
        HttpRequest request =
                toEntry(entry, "/services/orders/purchases")
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString("{\"lot\":7}"))
                        .build();
        return send(request);
    }

    /** Streams a completion through an entry. */
    CompletableFuture<Answer> stream(int entry, String prompt, int tokens) {
        String body =
                MAPPER.createObjectNode()
                        .put("model", "contracts")
                        .put("prompt", prompt)
                        .put("max_tokens", tokens)
                        .put("stream", true)
                        .toString();
        return send(
                toEntry(entry, "/v1/completions")
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build());
    }

    int executions(String key) {
        return page("service", "/executions").path("by_key").path(key).asInt(0);
    }

    int running() {
        return page("engine", "/admin/state").path("running").asInt(0);
    }

    void delayService(long milliseconds) {
        String faults =
                "{\"delay_milliseconds\":" + milliseconds + ",\"close_after_execution\":false}";
        HttpRequest request =
                HttpRequest.newBuilder(uri("service", "/admin/faults"))
                        .POST(HttpRequest.BodyPublishers.ofString(faults))
                        .build();
        send(request).join();
    }

    /** Waits until a condition holds, which tests it again and again. */
    static void await(String what, BooleanSupplier condition) {
        for (int attempt = 0; attempt < TRIES; attempt++) {
            if (condition.getAsBoolean()) {
                return;
            }
            pause(PAUSE_MILLISECONDS);
        }
        assertWithMessage("gave up waiting for " + what).fail();
    }

    static void pause(long milliseconds) {
        CompletableFuture.runAsync(
                        () -> {},
                        CompletableFuture.delayedExecutor(milliseconds, TimeUnit.MILLISECONDS))
                .join();
    }

    /** An answer over HTTP; status zero stands for a connection that broke. */
    record Answer(int status, String verdict, String body) {}

    private CompletableFuture<Answer> send(HttpRequest request) {
        return mHttp.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle(
                        (response, failure) ->
                                Optional.ofNullable(response)
                                        .map(LocalSystem::answer)
                                        .orElse(new Answer(0, "", "")));
    }

    private static Answer answer(HttpResponse<String> response) {
        String verdict = response.headers().firstValue("ibisstand-verdict").orElse("");
        return new Answer(response.statusCode(), verdict, response.body());
    }

    private HttpRequest.Builder toEntry(int entry, String path) {
        return HttpRequest.newBuilder(uri("entry-" + entry + "-caller", path))
                .timeout(REQUEST_TIMEOUT)
                .header("Authorization", "Bearer " + TEAM_TOKEN);
    }

    private Answer operator(String method, String name, String path, String body) {
        HttpRequest request =
                HttpRequest.newBuilder(uri(name, path))
                        .timeout(Duration.ofSeconds(2))
                        .header("Authorization", "Bearer " + OPERATOR_TOKEN)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return send(request).join();
    }

    private JsonNode page(String name, String path) {
        try {
            return MAPPER.readTree(
                    send(HttpRequest.newBuilder(uri(name, path)).build()).join().body());
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    private URI uri(String name, String path) {
        return URI.create("http://127.0.0.1:" + port(name) + path);
    }

    private int port(String name) {
        return mPorts.computeIfAbsent(name, unused -> freePort());
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void add(String name, List<String> arguments) {
        mProcesses.put(name, new LocalProcess(name, arguments, mFolder));
    }

    private void addDaemon(String role, int number, String settings) {
        String name = role + "-" + number;
        Path file = mFolder.resolve(name + ".json");
        try {
            Files.writeString(file, settings.replace('\'', '"'));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        add(name, List.of(role, "--settings", file.toString()));
    }

    private List<String> engineArguments() {
        String port = Integer.toString(port("engine"));
        return List.of(
                "fake-engine",
                "--port",
                port,
                "--model",
                "contracts=1",
                "--piece-bytes",
                "1024",
                "--cache-pieces",
                "256",
                "--prefill-bytes-per-millisecond",
                "40",
                "--token-milliseconds",
                "40");
    }

    private String controlSettings(int member) {
        StringBuilder members = new StringBuilder();
        for (int one = FIRST_CONTROL; one <= 3; one++) {
            members.append(one == FIRST_CONTROL ? "" : ",")
                    .append("{'member':'control-" + one + "','address':'")
                    .append("127.0.0.1:" + port("control-" + one) + "'}");
        }
        return "{'member':'control-"
                + member
                + "','zone':'a',"
                + wire("control-" + member)
                + administration("control-" + member)
                + "'data_folder':'"
                + mFolder.resolve("data-" + member)
                + "','members':["
                + members
                + "]}";
    }

    private String entrySettings(int entry) {
        return "{'process':'entry-"
                + entry
                + "','zone':'a','caller':{'host':'127.0.0.1','port':"
                + port("entry-" + entry + "-caller")
                + "},"
                + administration("entry-" + entry)
                + controlAddresses()
                + "'timing':{'balancer_wait_milliseconds':100}}";
    }

    private String agentSettings(int agent, String backend) {
        return "{'agent':'agent-"
                + agent
                + "','zone':'a',"
                + wire("agent-" + agent)
                + administration("agent-" + agent)
                + controlAddresses()
                + "'backend':"
                + backend
                + "}";
    }

    private String engineBackend() {
        return "{'kind':'engine','base_url':'http://127.0.0.1:"
                + port("engine")
                + "','models':[{'model':'contracts','weights_version':'1'}],'slots':8,"
                + "'events_path':'/events'}";
    }

    private String serviceBackend() {
        return "{'kind':'plain_service','base_url':'http://127.0.0.1:"
                + port("service")
                + "','services':['orders'],'slots':16}";
    }

    private String wire(String name) {
        return "'wire':{'host':'127.0.0.1','port':" + port(name) + "},";
    }

    private String administration(String name) {
        return "'administration':{'host':'127.0.0.1','port':"
                + port(name + "-admin")
                + ",'operator_token_sha256':'"
                + Digests.hexadecimal(OPERATOR_TOKEN)
                + "'},";
    }

    private String controlAddresses() {
        return "'control_addresses':['127.0.0.1:"
                + port("control-1")
                + "','127.0.0.1:"
                + port("control-2")
                + "','127.0.0.1:"
                + port("control-3")
                + "'],";
    }

    private static String configuration() {
        String text =
                "{'teams':[{'name':'buyers','token_sha256':['"
                        + Digests.hexadecimal(TEAM_TOKEN)
                        + "'],'weight':1,'maximum_concurrent_requests':256,"
                        + "'requests_per_second':2000,'models':['contracts'],"
                        + "'services':['orders']}],'models':[{'name':'contracts',"
                        + "'weights_version':'1','priority_class':'interactive',"
                        + "'piece_bytes':1024}],'services':[{'name':'orders',"
                        + "'priority_class':'interactive','calls':[{'method':'POST',"
                        + "'path_prefix':'/purchases','idempotent':false}]}],"
                        + "'priority_classes':[{'name':'interactive','rank':0,"
                        + "'first_token_milliseconds':1000,'deadline_milliseconds':20000}]}";
        return text.replace('\'', '"');
    }
}
