package org.ibisstand.control;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.Digests;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.Administration;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.settings.WireListen;

/**
 * A process with one control member that operators send large configurations in number; ends with 0
 * once all are acknowledged.
 */
final class LargeConfigurationLoad {
    /** The size of a configuration of 1,400 routes, in the operator's form and in ours. */
    private static final int DOCUMENT_BYTES = 470_000;

    private static final int ORDERS_AT_ONCE = 8;

    private LargeConfigurationLoad() {}

    /** Runs with a data folder, a free port, and the number of changes. */
    public static void main(String[] arguments) {
        Address address = new Address("127.0.0.1", Integer.parseInt(arguments[1]));
        int changes = Integer.parseInt(arguments[2]);
        try (ControlDaemon daemon =
                ControlDaemon.start(
                        settings(Path.of(arguments[0]), address), ReplicatedLog::open)) {
            Deque<CompletableFuture<Long>> open = new ArrayDeque<>();
            for (int version = 1; version <= changes; version++) {
                if (open.size() == ORDERS_AT_ONCE) {
                    open.removeFirst().join();
                }
                int number = version;
                open.addLast(put(daemon, number));
            }
            open.forEach(CompletableFuture::join);
        }
        System.exit(0);
    }

    /** Puts one version, again until the member leads. */
    private static CompletableFuture<Long> put(ControlDaemon daemon, int version) {
        return daemon.fleet()
                .putRouting(version, document(version), document(version))
                .exceptionallyCompose(
                        failure ->
                                CompletableFuture.supplyAsync(
                                                () -> null,
                                                CompletableFuture.delayedExecutor(
                                                        50, TimeUnit.MILLISECONDS))
                                        .thenCompose(ignored -> put(daemon, version)));
    }

    private static byte[] document(int version) {
        byte[] document = new byte[DOCUMENT_BYTES];
        Arrays.fill(document, (byte) ' ');
        byte[] text = ("{\"version\":" + version + "}").getBytes(StandardCharsets.UTF_8);
        System.arraycopy(text, 0, document, 0, text.length);
        return document;
    }

    private static ControlSettings settings(Path folder, Address address) {
        return new ControlSettings(
                "member-1",
                "zone",
                new WireListen(address.host(), address.port(), Optional.empty()),
                new Administration(address.host(), 0, Digests.hexadecimal("token")),
                folder.toString(),
                List.of(new ControlSettings.Member("member-1", address)),
                false,
                false,
                new ControlSettings.Limits(1_000, 8 << 20, 1, 2),
                new ControlSettings.Timing(800, 150, 3_600_000, 30_000, 1_000, 2_000));
    }
}
