package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.ibisstand.gateway.EngineGatewayTest.pause;
import static org.ibisstand.gateway.ScriptedServer.write;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.ServerRecord;

/** A gateway with two engines, of which one is about to load weights during its stream. */
final class RunMoveHarness implements AutoCloseable {
    private static final String MODEL = "model";
    private static final int READ_TIMEOUT_MILLISECONDS = 15_000;

    private final List<ScriptedServer> mServers = new ArrayList<>();
    private StoppableRunEngine mEngine = new StoppableRunEngine();
    private final GatewayDaemon mGateway =
            GatewayDaemon.start(
                    Samples.SETTINGS,
                    Samples.HEADER_NAMES,
                    headers ->
                            Optional.of(
                                    new Prompt(
                                            MODEL, 100, 10, List.of(new Prompt.Part("own", 100)))),
                    Samples.RUN_MOVE_PROTOCOL,
                    MonotonicClock.start(),
                    new MetricRegistry());

    /** What befalls the target of a move. */
    enum TargetChange {
        LEAVES,
        IS_REMOVED,
        LOADS,
        HAS_OTHER_WEIGHTS
    }

    void drain() {
        mGateway.drain();
    }

    @Override
    public void close() {
        mGateway.close();
        mServers.forEach(ScriptedServer::close);
    }

    void start(StoppableRunEngine engine) {
        mEngine = engine;
        mServers.add(ScriptedServer.start(engine));
        mServers.add(ScriptedServer.start(engine));
        update(records());
    }

    private List<ServerRecord> records() {
        List<ServerRecord> records = new ArrayList<>();
        for (ScriptedServer server : mServers) {
            records.add(record("server-" + records.size(), server));
        }
        return records;
    }

    private static ServerRecord record(String name, ScriptedServer server) {
        return ServerRecord.newBuilder()
                .setServer(name)
                .setService("service")
                .setAddress(server.address())
                .setSlots(4)
                .putWeights(MODEL, 1)
                .build();
    }

    private void update(List<ServerRecord> records) {
        mGateway.update(
                        new FleetState(
                                Optional.of(
                                        Samples.engineConfiguration(
                                                Repetition.STREAM,
                                                EngineGatewayTest.TIMEOUT_MILLISECONDS)),
                                Map.of(MODEL, 1L),
                                records,
                                1))
                .join();
    }

    /** Returns the engine that was sent the stream's first request. */
    private ScriptedServer source() {
        return mServers.stream()
                .filter(server -> !server.requests().isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private ScriptedServer target() {
        return mServers.get(1 - mServers.indexOf(source()));
    }

    void change(TargetChange change) {
        List<ServerRecord> records = records();
        int target = mServers.indexOf(target());
        switch (change) {
            case LEAVES -> {
                records.set(
                        target,
                        records.get(target).toBuilder()
                                .setState(ServerRecord.State.DRAINING)
                                .build());
                update(records);
            }
            case IS_REMOVED -> {
                records.remove(target);
                update(records);
            }
            case LOADS -> sendNotices(1, true);
            case HAS_OTHER_WEIGHTS -> {
                records.set(target, records.get(target).toBuilder().putWeights(MODEL, 2).build());
                update(records);
            }
        }
    }

    void listWithoutSource(boolean isListedAnew) {
        List<ServerRecord> records = records();
        int source = mServers.indexOf(source());
        if (isListedAnew) {
            records.set(source, record("successor", mServers.get(source)));
        } else {
            records.remove(source);
        }
        update(records);
    }

    /** Sends notices by which the source is about to load, and perhaps the target too. */
    void sendNotices(long weightsOfSource, boolean isTargetLoading) {
        EngineNotices notices =
                EngineNotices.newBuilder()
                        .addEngines(notice(source(), true, weightsOfSource))
                        .addEngines(notice(target(), isTargetLoading, 1))
                        .build();
        mGateway.updateEngines(notices).join();
    }

    private static EngineNotice notice(ScriptedServer server, boolean isLoading, long weights) {
        return EngineNotice.newBuilder()
                .setAddress(server.address())
                .setLoading(isLoading)
                .putWeights(MODEL, weights)
                .build();
    }

    /** Returns the requests of one kind that engines received. */
    List<String> requests(String prefix) {
        return mServers.stream()
                .flatMap(server -> server.requests().stream())
                .filter(request -> request.startsWith(prefix))
                .toList();
    }

    /**
     * Requests a stream whose engine is about to load weights, and returns its events once it has
     * ended; fails if it was cut.
     */
    String readStream() throws Exception {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), mGateway.port())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
            write(caller, EngineGatewayTest.request("key"));
            while (mServers.stream().allMatch(server -> server.requests().isEmpty())) {
                pause(1);
            }
            sendNotices(1, false);
            mEngine.noticesDelivered();
            byte[] response = caller.getInputStream().readAllBytes();
            String text = new String(response, StandardCharsets.ISO_8859_1);
            assertThat(text).endsWith("0\r\n\r\n");
            String body = text.substring(text.indexOf("\r\n\r\n") + 4);
            return body.replaceAll("(?m)^[0-9a-f]+\r\n", "").replace("\r\n", "");
        }
    }
}
