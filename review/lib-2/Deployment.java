import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Starts the project's programs by the commands of the deploy file, on loopback addresses. */
final class Deployment implements AutoCloseable {
    static final int FRONT_PORT = 22_782;
    static final int CONTROL_PORT = 22_783;
    static final int READY_PORT = 22_789;
    static final int ENGINE_PORT = 22_080;
    private static final int FIRST_INTERNAL_PORT = 22_340;

    private final Path mRoot = Path.of("").toAbsolutePath();
    private final Path mFolder;
    private final Path mCaseFolder;
    private final List<String> mRecord = new ArrayList<>();
    private final long mStartedAt = System.nanoTime();
    private final Map<String, Node> mNodes = new LinkedHashMap<>();
    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(800))
                    .followRedirects(HttpClient.Redirect.NEVER)
                    .build();
    private final String mNetwork;
    private List<Integer> mSeeds;

    /** One process of the system and its settings. */
    static final class Node {
        final String mRole;
        final int mHost;
        final boolean mHasDisk;
        final boolean mHasEngine;
        boolean mStartedBefore;
        boolean mIsAdded;
        Optional<Process> mProcess = Optional.empty();

        Node(String role, int host, boolean hasDisk, boolean hasEngine) {
            mRole = role;
            mHost = host;
            mHasDisk = hasDisk;
            mHasEngine = hasEngine;
        }

        String name() {
            return mRole + "-" + mHost;
        }
    }

    /** An answer of the API of control; status 0 if there was none. */
    record Answer(int status, String body) {}

    /**
     * Creates a deployment without processes.
     *
     * @param caseFolder the folder that receives record.txt
     * @param seeds the last numbers of the addresses of the seeds
     */
    Deployment(Path caseFolder, List<Integer> seeds) throws IOException {
        mCaseFolder = caseFolder;
        mSeeds = seeds;
        mFolder = Files.createTempDirectory("review");
        mNetwork = freeNetwork();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
    }

    private static String freeNetwork() throws IOException {
        Random random = new Random();
        while (true) {
            String network = "127." + (10 + random.nextInt(240)) + "." + random.nextInt(250);
            try (ServerSocket probe =
                    new ServerSocket(CONTROL_PORT, 1, InetAddress.getByName(network + ".1"))) {
                if (probe.isBound()) {
                    return network;
                }
            } catch (IOException e) {
                continue;
            }
        }
    }

    String host(int number) {
        return mNetwork + "." + number;
    }

    /** Appends a line with the time since the start to the record. */
    synchronized void note(String line) {
        double seconds = (System.nanoTime() - mStartedAt) / 1e9;
        mRecord.add(String.format("%8.3f s  %s", seconds, line));
    }

    synchronized void writeRecord() throws IOException {
        String text = String.join("\n", mRecord) + "\n";
        // Addresses are drawn anew for each run.
        Files.writeString(
                mCaseFolder.resolve("record.txt"), text.replace(mNetwork + ".", "127.x.x."));
    }

    Node add(String role, int host, boolean hasDisk, boolean hasEngine) {
        Node node = new Node(role, host, hasDisk, hasEngine);
        mNodes.put(node.name(), node);
        return node;
    }

    Node node(String name) {
        return mNodes.get(name);
    }

    /** Starts a process, with first_start set only at its first start on an empty disk. */
    void start(Node node) throws IOException {
        Path folder = mFolder.resolve(node.name());
        Files.createDirectories(folder.resolve("data"));
        writeSettings(node);
        node.mStartedBefore = true;
        ProcessBuilder builder = new ProcessBuilder(command(node.mRole)).directory(mRoot.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("IBISSTAND_NODE_FILE", folder.resolve("settings.json").toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve("log.txt").toFile()));
        node.mProcess = Optional.of(builder.start());
        note("start " + node.name());
    }

    /** Changes the seeds in all settings files, which processes read again by themselves. */
    void setSeeds(List<Integer> seeds) throws IOException {
        mSeeds = seeds;
        for (Node node : mNodes.values()) {
            if (node.mStartedBefore) {
                writeSettings(node);
            }
        }
        note("settings name the seeds " + seeds);
    }

    private void writeSettings(Node node) throws IOException {
        Path folder = mFolder.resolve(node.name());
        boolean isControl = node.mRole.equals("control");
        boolean isGateway = node.mRole.equals("gateway");
        String members =
                mSeeds.stream()
                        .map(seed -> "\"" + host(seed) + ":" + CONTROL_PORT + "\"")
                        .collect(Collectors.joining(","));
        String ip = host(node.mHost);
        String json =
                "{\"process\":\"" + node.name() + "\",\"zone\":\"z-a\",\"host\":\"" + ip + "\","
                        + "\"callers\":\"" + (isGateway ? ip + ":" + FRONT_PORT : "") + "\","
                        + "\"readiness\":\"" + (isGateway ? ip + ":" + READY_PORT : "") + "\","
                        + "\"control\":\"" + (isControl ? ip + ":" + CONTROL_PORT : "") + "\","
                        + "\"engine\":\"" + (node.mHasEngine ? ip + ":" + ENGINE_PORT : "") + "\","
                        + "\"members\":[" + members + "],"
                        + "\"first_start\":" + (!node.mStartedBefore && !node.mIsAdded) + ","
                        + "\"data_folder\":\"" + (node.mHasDisk ? folder.resolve("data") : "")
                        + "\",\"first_internal_port\":" + FIRST_INTERNAL_PORT + ","
                        + "\"announcement_milliseconds\":1200,\"retry_ratio\":0.2,"
                        + "\"retry_fixed\":60,\"retry_window_seconds\":10,\"stop_seconds\":8,"
                        + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\","
                        + "\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\"]}";
        Path file = folder.resolve("settings.json");
        Path temporary = folder.resolve("settings.new");
        Files.writeString(temporary, json);
        Files.move(temporary, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    private List<String> command(String role) throws IOException {
        Pattern run = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"");
        Matcher matcher = run.matcher(Files.readString(mRoot.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        return List.of(matcher.group(1).split(" "));
    }

    /** Ends a process as a loss of power does; its disk stays as it is. */
    void kill(Node node) throws InterruptedException {
        Process process = node.mProcess.orElseThrow();
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
        note("SIGKILL " + node.name());
    }

    /** Stops a process as planned; waits until it has ended. */
    void terminate(Node node) throws InterruptedException {
        Process process = node.mProcess.orElseThrow();
        process.destroy();
        note("SIGTERM " + node.name());
        boolean hasEnded = process.waitFor(8, TimeUnit.SECONDS);
        note(node.name() + " has ended: " + hasEnded);
    }

    void wipe(Node node) throws IOException {
        Path data = mFolder.resolve(node.name()).resolve("data");
        try (Stream<Path> paths = Files.walk(data)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
        note("the disk of " + node.name() + " is lost");
    }

    /** Notes the lines of a process's log that contain a text. */
    void noteLog(Node node, String text, int most) throws IOException {
        List<String> lines =
                Files.readAllLines(mFolder.resolve(node.name()).resolve("log.txt")).stream()
                        .filter(line -> line.contains(text))
                        .toList();
        lines.subList(Math.max(0, lines.size() - most), lines.size())
                .forEach(line -> note("log of " + node.name() + ": " + line));
    }

    /** Calls the API of a control process and follows two redirections, as the operator does. */
    Answer call(int host, String method, String path, String body) {
        String url = "http://" + host(host) + ":" + CONTROL_PORT + path;
        try {
            for (int redirects = 0; redirects <= 2; redirects++) {
                HttpRequest request =
                        HttpRequest.newBuilder(URI.create(url))
                                .timeout(Duration.ofSeconds(1))
                                .header("Content-Type", "application/json")
                                .method(
                                        method,
                                        body.isEmpty()
                                                ? HttpRequest.BodyPublishers.noBody()
                                                : HttpRequest.BodyPublishers.ofString(body))
                                .build();
                HttpResponse<String> response =
                        mClient.send(request, HttpResponse.BodyHandlers.ofString());
                if (response.statusCode() != 307) {
                    return new Answer(response.statusCode(), response.body());
                }
                url = response.headers().firstValue("Location").orElseThrow();
            }
            return new Answer(307, "");
        } catch (IOException e) {
            return new Answer(0, "");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends an order of the operator to one process after the other until one acknowledges it. */
    boolean order(List<Integer> hosts, String path, String body, String what, int seconds)
            throws InterruptedException {
        long until = System.nanoTime() + seconds * 1_000_000_000L;
        for (int turn = 0; System.nanoTime() < until; turn++) {
            int host = hosts.get(turn % hosts.size());
            Answer answer = call(host, "POST", path, body);
            note(what + " sent to control-" + host + ": " + answer.status());
            if (answer.status() == 200) {
                return true;
            }
            Thread.sleep(150);
        }
        return false;
    }

    private void stopAll() {
        mNodes.values().stream()
                .flatMap(node -> node.mProcess.stream())
                .forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        stopAll();
        mNodes.values().stream()
                .flatMap(node -> node.mProcess.stream())
                .forEach(
                        process -> {
                            try {
                                process.waitFor(5, TimeUnit.SECONDS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        String keep = System.getenv("REVIEW_LOGS");
        if (keep != null) {
            for (Node node : mNodes.values()) {
                Path log = mFolder.resolve(node.name()).resolve("log.txt");
                Files.createDirectories(Path.of(keep));
                Files.copy(
                        log,
                        Path.of(keep).resolve(node.name() + ".txt"),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
        try (Stream<Path> paths = Files.walk(mFolder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
