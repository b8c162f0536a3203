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
 * Measures the rate and latency of claims on three control members over loopback, compared with
 * synced writes to the same disk just before, and prints a line of JSON for each number of open
 * claims.
 */
public final class ControlLogMeasurement implements AutoCloseable {
    private static final int MEMBERS = 3;
    private static final int[] OPEN_CLAIMS = {1, 16, 128, 1024};
    private static final int WRITE_BYTES = 256;
    private static final long LARGEST_MICROSECONDS = TimeUnit.MINUTES.toMicros(1);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
    private static final int UUID_TIME_SHIFT = 16;
    private static final int UUID_VERSION_7 = 0x7000;

    private final Clock mClock = MonotonicClock.start();
    private final Path mFolder;
    private final Duration mStepDuration;
    private final EventLoopGroup mEventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<ControlDaemon> mDaemons = new ArrayList<>();
    private final List<InetSocketAddress> mAddresses = new ArrayList<>();
    private final AtomicLong mKeyCounter = new AtomicLong();

    private ControlLogMeasurement(Path folder, Duration stepDuration) {
        mFolder = folder;
        mStepDuration = stepDuration;
    }

    /**
     * Runs the measurement.
     *
     * @param arguments an empty folder on the disk to measure, and the duration of each step in
     *     seconds
     * @throws IOException if the folder cannot be used
     */
    public static void main(String[] arguments) throws IOException {
        Duration stepDuration = Duration.ofSeconds(Long.parseLong(arguments[1]));
        try (ControlLogMeasurement measurement =
                new ControlLogMeasurement(Path.of(arguments[0]), stepDuration)) {
            measurement.run();
        }
    }

    @Override
    public void close() {
        mDaemons.forEach(ControlDaemon::close);
        mEventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private void run() throws IOException {
        startMembers();
        try (ControlClient client =
                ControlClient.connect(wireContext(), mClock, mAddresses, new IgnoringHandler())) {
            client.call(createClaim(), CALL_TIMEOUT).join();
            for (int openClaims : OPEN_CLAIMS) {
                Throughput writes = measureSyncedWrites();
                print(openClaims, measureClaims(client, openClaims), writes);
            }
        }
    }

    private Throughput measureSyncedWrites() throws IOException {
        Histogram latency = new ConcurrentHistogram(LARGEST_MICROSECONDS, 3);
        try (FolderDisk disk = FolderDisk.open(mFolder.resolve("writes"));
                StorageFile file = disk.open("writes")) {
            file.truncate(0);
            Instant stepEnd = mClock.instant().plus(mStepDuration);
            for (long position = 0; mClock.instant().isBefore(stepEnd); position += WRITE_BYTES) {
                Instant start = mClock.instant();
                file.write(position, new byte[WRITE_BYTES]);
                file.sync();
                latency.recordValue(microsecondsSince(start));
            }
        }
        return new Throughput(latency, mStepDuration);
    }

    private Throughput measureClaims(ControlClient client, int openClaims) {
        Histogram latency = new ConcurrentHistogram(LARGEST_MICROSECONDS, 3);
        Semaphore freeCalls = new Semaphore(openClaims);
        Instant stepStart = mClock.instant();
        Instant stepEnd = stepStart.plus(mStepDuration);
        while (mClock.instant().isBefore(stepEnd)) {
            freeCalls.acquireUninterruptibly();
            Instant start = mClock.instant();
            CompletableFuture<Frame> reply = client.call(createClaim(), CALL_TIMEOUT);
            reply.whenComplete(
                    (frame, failure) -> {
                        if (failure == null) {
                            latency.recordValue(microsecondsSince(start));
                        }
                        freeCalls.release();
                    });
        }
        freeCalls.acquireUninterruptibly(openClaims);
        return new Throughput(latency, Duration.between(stepStart, mClock.instant()));
    }

    private long microsecondsSince(Instant start) {
        long microseconds = Duration.between(start, mClock.instant()).toNanos() / 1_000;
        return Math.min(microseconds, LARGEST_MICROSECONDS);
    }

    private Frame createClaim() {
        long high = mClock.millis() << UUID_TIME_SHIFT | UUID_VERSION_7;
        String key = new UUID(high, Long.MIN_VALUE | mKeyCounter.incrementAndGet()).toString();
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

    private WireContext wireContext() {
        return new WireContext(
                mEventLoopGroup,
                WireSettings.standard(),
                "measurement",
                "entry",
                BootIdentifier.create(),
                new SecureRandom());
    }

    private static void print(int openClaims, Throughput claims, Throughput writes) {
        System.out.printf(
                Locale.ROOT,
                "{\"open_claims\":%d,\"claims_per_second\":%.0f,\"claim_p50_ms\":%.3f,"
                        + "\"claim_p99_ms\":%.3f,\"synced_writes_per_second\":%.0f,"
                        + "\"synced_write_p50_ms\":%.3f,\"claims_per_synced_write\":%.2f}%n",
                openClaims,
                claims.perSecond(),
                claims.milliseconds(50),
                claims.milliseconds(99),
                writes.perSecond(),
                writes.milliseconds(50),
                claims.perSecond() / writes.perSecond());
    }

    /** The number of operations in a duration, with their latency in microseconds. */
    private record Throughput(Histogram latency, Duration duration) {
        double perSecond() {
            return latency.getTotalCount() * 1e9 / duration.toNanos();
        }

        double milliseconds(double percentile) {
            return latency.getValueAtPercentile(percentile) / 1_000.0;
        }
    }

    /** Ignores all frames. */
    private static final class IgnoringHandler implements FrameHandler {
        @Override
        public void received(WireConnection connection, Frame frame) {}
    }
}
