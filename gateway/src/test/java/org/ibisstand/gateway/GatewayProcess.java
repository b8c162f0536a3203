package org.ibisstand.gateway;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.settings.Route.WeightedService;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.settings.RoutingConfiguration;
import org.ibisstand.settings.RoutingConfiguration.CallerLimits;
import org.ibisstand.wire.message.ServerRecord;

/**
 * A process with one gateway in front of a sound and a faulty server, for tests of its memory;
 * prints its port and runs until its input ends.
 */
final class GatewayProcess {
    static final String SOUND_PATH = "/sound/";
    static final String FAULTY_CALL_PATH = "/call/";
    static final String FAULTY_STREAM_PATH = "/stream/";
    static final int MAXIMUM_BODY_BYTES = 4 << 20;

    private static final long TIMEOUT_MILLISECONDS = 20_000;
    private static final int SLOTS = 1_000;

    private GatewayProcess() {}

    /** Runs with the addresses of the sound and the faulty server. */
    public static void main(String[] arguments) throws IOException {
        GatewayDaemon gateway =
                GatewayDaemon.start(
                        Samples.SETTINGS,
                        Samples.HEADER_NAMES,
                        headers -> Optional.empty(),
                        Samples.RUN_MOVE_PROTOCOL,
                        MonotonicClock.start(),
                        new MetricRegistry());
        gateway.update(
                        new FleetState(
                                Optional.of(configuration()),
                                Map.of(),
                                List.of(
                                        server("sound", arguments[0]),
                                        server("faulty", arguments[1])),
                                1))
                .join();
        System.out.println("port " + gateway.port());
        while (System.in.read() >= 0) {
            // Runs until the test closes the stream.
        }
        gateway.close();
        System.exit(0);
    }

    private static RoutingConfiguration configuration() {
        return new RoutingConfiguration(
                1,
                List.of(
                        route(SOUND_PATH, "sound", Repetition.ONCE),
                        route(FAULTY_CALL_PATH, "faulty", Repetition.ONCE),
                        route(FAULTY_STREAM_PATH, "faulty", Repetition.STREAM)),
                List.of(service("sound"), service("faulty")),
                new CallerLimits(16_384, MAXIMUM_BODY_BYTES, 3_000, 15_000),
                Optional.empty());
    }

    private static Route route(String path, String service, Repetition repetition) {
        return new Route(
                "route " + path,
                Samples.HOST,
                path,
                repetition,
                TIMEOUT_MILLISECONDS,
                500,
                0,
                List.of(new WeightedService(service, 1)),
                1,
                true,
                false,
                400);
    }

    private static RoutedService service(String name) {
        return new RoutedService(name, "/health", SLOTS, Optional.empty(), Optional.empty());
    }

    private static ServerRecord server(String service, String address) {
        return ServerRecord.newBuilder()
                .setServer(service + "-server")
                .setService(service)
                .setAddress(address)
                .setSlots(SLOTS)
                .build();
    }
}
