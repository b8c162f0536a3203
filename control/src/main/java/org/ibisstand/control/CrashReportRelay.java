package org.ibisstand.control;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.ibisstand.fleet.CrashEvidence;
import org.ibisstand.fleet.CrashReport;
import org.ibisstand.fleet.CrashReportCodec;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.Frame;

/**
 * Merges the crash reports of gateways in memory, and sends the result to the other members and to
 * all gateways; used on the control thread. Gateways report again what a member does not know, so
 * that nothing needs to be stored.
 */
final class CrashReportRelay {
    private final Consumer<EngineNotices> mPeers;
    private final Clock mClock;
    private final CrashEvidence mEvidence = new CrashEvidence();
    private final Map<WireConnection, Watcher> mWatchers = new HashMap<>();
    private long mRevision = 1;

    /**
     * Creates a relay that knows no crash.
     *
     * @param peers sends notices to all other members
     * @param clock the time source, which must not jump
     */
    CrashReportRelay(Consumer<EngineNotices> peers, Clock clock) {
        mPeers = peers;
        mClock = clock;
    }

    /** A gateway and the revision that was last sent to it. */
    private record Watcher(long correlation, long revision) {}

    /** Adds a gateway, which gets everything with the next flush. */
    void watch(WireConnection connection, long correlation) {
        mWatchers.put(connection, new Watcher(correlation, 0));
    }

    void closed(WireConnection connection) {
        mWatchers.remove(connection);
    }

    /** Merges a report, and forwards it to the other members if it contains anything new. */
    void receive(CrashReport report) {
        if (mEvidence.merge(report, mClock.millis())) {
            mRevision++;
            mPeers.accept(CrashReportCodec.encode(report));
        }
    }

    /** Returns everything that is known. */
    EngineNotices notices() {
        return CrashReportCodec.encode(mEvidence.report(mClock.millis()));
    }

    /** Sends everything to the gateways that have an older revision and read fast enough. */
    void flush() {
        if (mWatchers.values().stream().allMatch(watcher -> watcher.revision() == mRevision)) {
            return;
        }
        EngineNotices notices = notices();
        mWatchers.replaceAll(
                (connection, watcher) -> {
                    if (watcher.revision() == mRevision || !connection.isWritable()) {
                        return watcher;
                    }
                    connection.send(
                            watcher.correlation(), Frame.newBuilder().setEngineNotices(notices));
                    return new Watcher(watcher.correlation(), mRevision);
                });
    }
}
