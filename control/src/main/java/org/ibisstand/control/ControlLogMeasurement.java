package org.ibisstand.control;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.Digests;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.settings.SettingsReader;
import org.ibisstand.storage.FolderDisk;
import org.ibisstand.storage.StorageFile;
import org.ibisstand.wire.ControlClient;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.Claim;
import org.ibisstand.wire.message.Frame;

/**
 * Measures the claims of three control members over loopback against the synced writes of the same
 * disk just before, and prints one line of JSON for each number of open claims.
 */
public final class ControlLogMeasurement implements AutoCloseable {
    private static final int MEMBERS = 3;
    private static final int[] OPEN_CLAIMS = {1, 16, 128, 1024};
    private static final int WRITE_BYTES = 256;
    private static final long LARGEST_MICROSECONDS = TimeUnit.MINUTES.toMicros(1);
    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private static final int UUID_TIME_SHIFT = 16;
    private static final int UUID_VERSION_7 = 0x7000;

    private final Clock mClock = MonotonicClock.start();
    private final Path mFolder;
    private final Duration mSpan;
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<ControlDaemon> mDaemons = new ArrayList<>();
    private final List<InetSocketAddress> mAddresses = new ArrayList<>();
    private final AtomicLong mKeys = new AtomicLong();

    private ControlLogMeasurement(Path folder, Duration span) {
        mFolder = folder;
        mSpan = span;
    }

    /**
     * Runs the measurement.
     *
     * @param arguments an empty folder on the disk to measure, and the seconds for each step
     * @throws IOException if the folder cannot be used
     */
    public static void main(String[] arguments) throws IOException {
        Duration span = Duration.ofSeconds(Long.parseLong(arguments[1]));
        try (ControlLogMeasurement measurement =
                new ControlLogMeasurement(Path.of(arguments[0]), span)) {
            measurement.run();
        }
    }

    @Override
    public void close() {
        mDaemons.forEach(ControlDaemon::close);
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private void run() throws IOException {
        startMembers();
        try (ControlClient client =
                ControlClient.connect(wire(), mClock, mAddresses, new Ignore())) {
            client.call(claim(), PATIENCE).join();
            for (int open : OPEN_CLAIMS) {
                Rate writes = syncedWrites();
                print(open, claims(client, open), writes);
            }
        }
    }

    private Rate syncedWrites() throws IOException {
        Histogram latency = new ConcurrentHistogram(LARGEST_MICROSECONDS, 3);
        try (FolderDisk disk = FolderDisk.open(mFolder.resolve("writes"));
                StorageFile file = disk.open("writes")) {
            file.truncate(0);
            Instant end = mClock.instant().plus(mSpan);
            for (long position = 0; mClock.instant().isBefore(end); position += WRITE_BYTES) {
                Instant start = mClock.instant();
                file.write(position, new byte[WRITE_BYTES]);
                file.sync();
                latency.recordValue(microsecondsSince(start));
            }
        }
        return new Rate(latency, mSpan);
    }

    private Rate claims(ControlClient client, int open) {
        Histogram latency = new ConcurrentHistogram(LARGEST_MICROSECONDS, 3);
        Semaphore free = new Semaphore(open);
        Instant begin = mClock.instant();
        Instant end = begin.plus(mSpan);
        while (mClock.instant().isBefore(end)) {
            free.acquireUninterruptibly();
            Instant start = mClock.instant();
            CompletableFuture<Frame> answer = client.call(claim(), PATIENCE);
            answer.whenComplete(
                    (frame, failure) -> {
                        if (failure == null) {
                            latency.recordValue(microsecondsSince(start));
                        }
                        free.release();
                    });
        }
        free.acquireUninterruptibly(open);
        return new Rate(latency, Duration.between(begin, mClock.instant()));
    }

    private long microsecondsSince(Instant start) {
        long microseconds = Duration.between(start, mClock.instant()).toNanos() / 1_000;
        return Math.min(microseconds, LARGEST_MICROSECONDS);
    }

    private Frame claim() {
        long high = mClock.millis() << UUID_TIME_SHIFT | UUID_VERSION_7;
        String key = new UUID(high, Long.MIN_VALUE | mKeys.incrementAndGet()).toString();
        byte[] digest = Digests.sha256(key.getBytes(StandardCharsets.UTF_8));
        Claim claim =
                Claim.newBuilder()
                        .setTeam("desk")
                        .setService("orders")
                        .setKey(key)
                        .setBodyDigest(ByteString.copyFrom(digest))
                        .setAgent("agent-1")
                        .setBoot(1)
                        .build();
        return Frame.newBuilder().setClaim(claim).build();
    }

    private void startMembers() throws IOException {
        for (int member = 0; member < MEMBERS; member++) {
            try (ServerSocket socket = new ServerSocket(0)) {
                mAddresses.add(new InetSocketAddress("127.0.0.1", socket.getLocalPort()));
            }
        }
        for (int member = 0; member < MEMBERS; member++) {
            mDaemons.add(ControlDaemon.start(settings(member), ReplicatedLog::open));
        }
    }

    private ControlSettings settings(int member) {
        List<String> members = new ArrayList<>();
        for (int other = 0; other < MEMBERS; other++) {
            members.add(
                    "{'member':'control-%d','address':'127.0.0.1:%d'}"
                            .formatted(other, mAddresses.get(other).getPort()));
        }
        String json =
                ("{'member':'control-%d','zone':'a','wire':{'host':'127.0.0.1','port':%d},"
                                + "'administration':{'host':'127.0.0.1','port':0,"
                                + "'operator_token_sha256':'%s'},'data_folder':'%s',"
                                + "'members':[%s],'limits':{'maximum_claims':10000000}}")
                        .formatted(
                                member,
                                mAddresses.get(member).getPort(),
                                Digests.hexadecimal("operator"),
                                mFolder.resolve("control-" + member),
                                String.join(",", members));
        return SettingsReader.create()
                .readControl(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    private WireContext wire() {
        return new WireContext(
                mGroup,
                WireSettings.standard(),
                "measurement",
                "entry",
                BootIdentifier.create(),
                new SecureRandom());
    }

    private static void print(int open, Rate claims, Rate writes) {
        System.out.printf(
                Locale.ROOT,
                "{\"open_claims\":%d,\"claims_per_second\":%.0f,\"claim_p50_ms\":%.3f,"
                        + "\"claim_p99_ms\":%.3f,\"synced_writes_per_second\":%.0f,"
                        + "\"synced_write_p50_ms\":%.3f,\"claims_per_synced_write\":%.2f}%n",
                open,
                claims.perSecond(),
                claims.milliseconds(50),
                claims.milliseconds(99),
                writes.perSecond(),
                writes.milliseconds(50),
                claims.perSecond() / writes.perSecond());
    }

    /** What was done in a span of time, with the latency of each. */
    private record Rate(Histogram latency, Duration span) {
        double perSecond() {
            return latency.getTotalCount() * 1e9 / span.toNanos();
        }

        double milliseconds(double percentile) {
            return latency.getValueAtPercentile(percentile) / 1_000.0;
        }
    }

    /** Takes no requests. */
    private static final class Ignore implements FrameHandler {
        @Override
        public void received(WireConnection connection, Frame frame) {}
    }
}
