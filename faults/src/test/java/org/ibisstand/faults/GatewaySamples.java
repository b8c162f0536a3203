package org.ibisstand.faults;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.ibisstand.control.ControlDaemon;
import org.ibisstand.gateway.GatewaySettings;
import org.ibisstand.gateway.HeaderNames;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.Administration;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.settings.Route.WeightedService;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.settings.RoutingConfiguration;
import org.ibisstand.settings.RoutingConfiguration.CallerLimits;
import org.ibisstand.settings.WireListen;
import org.ibisstand.wire.message.ServerRecord;

/** Settings, names and a configuration for a gateway with one member of control. */
final class GatewaySamples {
    static final String HOST = "127.0.0.1";
    private static final long ANNOUNCEMENT_MILLISECONDS = 1_000;
    static final String NOT_RUN = "x-not-executed";
    static final HeaderNames NAMES =
            new HeaderNames(
                    "x-request",
                    "x-deadline",
                    "x-team",
                    "x-expected-server",
                    "x-expected-weights",
                    "x-salt",
                    "x-source",
                    "x-target",
                    "x-urgency",
                    NOT_RUN,
                    "x-signature",
                    "x-load",
                    "x-leaving",
                    "x-weights",
                    "last-event-id",
                    "x-run-source",
                    Set.of());

    private GatewaySamples() {}

    /** Announces a server of the service until the result is shut down. */
    static ScheduledExecutorService announce(ControlDaemon control, int port) {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        AtomicLong sequence = new AtomicLong();
        timer.scheduleAtFixedRate(
                () ->
                        control.fleet()
                                .announceServer(
                                        ServerRecord.newBuilder()
                                                .setServer("server-1")
                                                .setService("service")
                                                .setAddress(HOST + ":" + port)
                                                .setBornMilliseconds(1)
                                                .setSequence(sequence.incrementAndGet())
                                                .setSlots(16)
                                                .build()),
                0,
                ANNOUNCEMENT_MILLISECONDS / 2,
                TimeUnit.MILLISECONDS);
        return timer;
    }

    static GatewaySettings gateway(int wirePort) {
        return new GatewaySettings(
                "gateway",
                "zone",
                new Address(HOST, 0),
                List.of(HOST + ":" + wirePort),
                1,
                100,
                10_000,
                2_000,
                false,
                GatewaySettings.UNLIMITED);
    }

    static ControlSettings control(Path folder, int wirePort) {
        return new ControlSettings(
                "member-1",
                "zone",
                new WireListen(HOST, wirePort, Optional.empty()),
                new Administration(HOST, FreePorts.next(), "0".repeat(64)),
                folder.resolve("data").toString(),
                List.of(new ControlSettings.Member("member-1", new Address(HOST, wirePort))),
                false,
                false,
                new ControlSettings.Limits(1_000, 1 << 20, 1, 2),
                new ControlSettings.Timing(
                        600, 100, 3_600_000, 30_000, ANNOUNCEMENT_MILLISECONDS, 0));
    }

    static RoutingConfiguration configuration(Repetition repetition) {
        Route route =
                new Route(
                        "route",
                        "h.example",
                        "/p/",
                        repetition,
                        5_000,
                        500,
                        0,
                        List.of(new WeightedService("service", 1)),
                        1,
                        true,
                        false,
                        400);
        return new RoutingConfiguration(
                1,
                List.of(route),
                List.of(
                        new RoutedService(
                                "service", "/health", 100, Optional.empty(), Optional.empty())),
                new CallerLimits(16384, 100_000, 3000, 15000),
                Optional.empty());
    }

    /** Returns a head with its blank line, or nothing at the end of the connection. */
    static String head(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }
}
