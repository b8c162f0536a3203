package org.ibisstand.faults;

import com.codahale.metrics.MetricRegistry;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import org.ibisstand.base.BoundedOutput;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.control.ControlDaemon;
import org.ibisstand.control.ReplicatedLog;
import org.ibisstand.gateway.GatewayDaemon;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.settings.RoutingConfigurationReader;

/**
 * Measures which share of a gateway's processor time its log takes: two gateways, one without a
 * log, serve blocks of the same calls in turn, and their processor times are compared.
 */
final class LoggingShareMeasurement {
    private static final int CONNECTIONS = 16;
    private static final int CALLS_IN_BLOCK = 4_000;
    private static final int WARM_UP_BLOCKS = 3;
    private static final int BLOCKS = 8;
    private static final int LOG_LINES = 4_096;
    private static final Duration PAUSE = Duration.ofMillis(100);

    private LoggingShareMeasurement() {}

    /** Without arguments measures; with a port of control and a file runs one gateway. */
    public static void main(String[] arguments) throws Exception {
        if (arguments.length == 2) {
            runGateway(Integer.parseInt(arguments[0]), Path.of(arguments[1]));
        } else {
            measure();
        }
    }

    private static void runGateway(int controlPort, Path portFile) throws IOException {
        BoundedOutput log =
                BoundedOutput.start(
                        new FileOutputStream("/dev/null"), LOG_LINES, GatewayDaemon::isRoutineLine);
        PrintStream output = new PrintStream(log, true, StandardCharsets.UTF_8);
        System.setOut(output);
        System.setErr(output);
        GatewayDaemon gateway =
                GatewayDaemon.start(
                        GatewaySamples.gateway(controlPort),
                        GatewaySamples.NAMES,
                        headers -> Optional.empty(),
                        new NoRunMoves(),
                        MonotonicClock.start(),
                        new MetricRegistry());
        while (!gateway.isReady()) {
            LockSupport.parkNanos(PAUSE.toNanos());
        }
        Files.writeString(portFile, Integer.toString(gateway.port()));
    }

    private static void measure() throws Exception {
        Path folder = Files.createTempDirectory("logging-share");
        int wirePort = FreePorts.next();
        ControlDaemon control =
                ControlDaemon.start(GatewaySamples.control(folder, wirePort), ReplicatedLog::open);
        ServerSocket backend =
                new ServerSocket(0, 1_000, InetAddress.getByName(GatewaySamples.HOST));
        ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
        threads.execute(() -> serve(backend, threads));
        configure(control, backend.getLocalPort());
        List<Process> gateways =
                List.of(start(wirePort, folder, "info"), start(wirePort, folder, "off"));
        List<Integer> ports = List.of(port(folder, "info"), port(folder, "off"));
        List<Long> times = new ArrayList<>(List.of(0L, 0L));
        for (int block = -WARM_UP_BLOCKS; block < BLOCKS; block++) {
            for (int which = 0; which < gateways.size(); which++) {
                long before = processorMilliseconds(gateways.get(which));
                load(ports.get(which), threads);
                long taken = processorMilliseconds(gateways.get(which)) - before;
                times.set(which, times.get(which) + (block < 0 ? 0 : taken));
            }
        }
        int calls = BLOCKS * CALLS_IN_BLOCK;
        System.out.printf(
                "%d calls each; processor microseconds a call: %.1f with log, %.1f without;"
                        + " share %.3f%n",
                calls,
                times.get(0) * 1_000.0 / calls,
                times.get(1) * 1_000.0 / calls,
                1 - times.get(1) / (double) times.get(0));
        gateways.forEach(Process::destroy);
        control.close();
        backend.close();
        System.exit(0);
    }

    private static void configure(ControlDaemon control, int backendPort) {
        byte[] json =
                RoutingConfigurationReader.create()
                        .write(GatewaySamples.configuration(Repetition.ONCE));
        while (!control.fleet().putRouting(1, json, json).handle((v, f) -> f == null).join()) {
            LockSupport.parkNanos(PAUSE.toNanos());
        }
        GatewaySamples.announce(control, backendPort);
    }

    private static Process start(int wirePort, Path folder, String level) throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Dtinylog.level=" + level,
                        "-cp",
                        System.getProperty("java.class.path"),
                        LoggingShareMeasurement.class.getName(),
                        Integer.toString(wirePort),
                        folder.resolve(level).toString())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve(level + ".log").toFile())
                .start();
    }

    private static int port(Path folder, String level) throws IOException {
        Path file = folder.resolve(level);
        while (!Files.exists(file) || Files.size(file) == 0) {
            LockSupport.parkNanos(PAUSE.toNanos());
        }
        return Integer.parseInt(Files.readString(file));
    }

    private static long processorMilliseconds(Process process) {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toMillis();
    }

    private static void load(int port, ExecutorService threads) {
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int caller = 0; caller < CONNECTIONS; caller++) {
            int number = caller;
            callers.add(CompletableFuture.runAsync(() -> calls(port, number), threads));
        }
        callers.forEach(CompletableFuture::join);
    }

    private static void calls(int port, int caller) {
        try (Socket socket = new Socket(GatewaySamples.HOST, port)) {
            for (int call = 0; call < CALLS_IN_BLOCK / CONNECTIONS; call++) {
                String request =
                        "GET /p/ HTTP/1.1\r\nHost: h.example\r\nx-request: r%d-%d\r\n\r\n"
                                .formatted(caller, call);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                String head = GatewaySamples.head(socket.getInputStream());
                if (!head.startsWith("HTTP/1.1 200")) {
                    throw new IllegalStateException("answered " + head);
                }
                socket.getInputStream().readNBytes(2);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void serve(ServerSocket backend, ExecutorService threads) {
        try {
            while (true) {
                Socket connection = backend.accept();
                threads.execute(() -> answerAll(connection));
            }
        } catch (IOException e) {
            System.err.println("the backend server ended: " + e.getMessage());
        }
    }

    private static void answerAll(Socket connection) {
        try (connection) {
            OutputStream output = connection.getOutputStream();
            String head = GatewaySamples.head(connection.getInputStream());
            while (!head.isEmpty()) {
                int from = head.indexOf("x-request: ") + "x-request: ".length();
                String identifier = head.substring(from, head.indexOf('\r', from));
                output.write(
                        ("HTTP/1.1 200 X\r\nx-request: "
                                        + identifier
                                        + "\r\nx-signature: s\r\nContent-Length: 2\r\n\r\nok")
                                .getBytes(StandardCharsets.UTF_8));
                head = GatewaySamples.head(connection.getInputStream());
            }
        } catch (SocketException e) {
            System.err.println("a connection ended: " + e.getMessage());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
