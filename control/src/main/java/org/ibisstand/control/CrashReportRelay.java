package org.ibisstand.control;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ibisstand.base.Digests;
import org.ibisstand.fleet.CrashEvidence;
import org.ibisstand.fleet.CrashReport;
import org.ibisstand.fleet.CrashReport.Acquittal;
import org.ibisstand.fleet.CrashReport.Crash;
import org.ibisstand.fleet.CrashReportCodec;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.Frame;

/**
 * Merges the crash reports of gateways in memory, and sends what is new to the other members and to
 * the gateways that this member serves; used on the control thread. Gateways report again what a
 * member does not know, so that nothing needs to be stored.
 *
 * <p>Designed for many gateways that see the crash of one engine at the same moment: each gateway
 * gets each report from two members, not from all, and gets everything only once.
 */
final class CrashReportRelay {
    /** One of them may be frozen or cut off. */
    private static final int MEMBERS_PER_GATEWAY = 2;

    private final Consumer<EngineNotices> mPeers;
    private final String mAddress;
    private final Supplier<List<String>> mMembers;
    private final Clock mClock;
    private final CrashEvidence mEvidence = new CrashEvidence();
    private final Map<WireConnection, Watcher> mWatchers = new HashMap<>();
    private final List<CrashReport> mUnsent = new ArrayList<>();
    private List<String> mKnownMembers = List.of();

    /**
     * Creates a relay that knows no crash.
     *
     * @param peers sends notices to all other members
     * @param address the address of this member
     * @param members the addresses of all members
     * @param clock the time source, which must not jump
     */
    CrashReportRelay(
            Consumer<EngineNotices> peers,
            String address,
            Supplier<List<String>> members,
            Clock clock) {
        mPeers = peers;
        mAddress = address;
        mMembers = members;
        mClock = clock;
    }

    /** A gateway, whether this member serves it, and whether it got everything so far. */
    private record Watcher(
            long correlation, String process, boolean isServed, boolean isUpToDate) {}

    /** Adds a gateway, which gets everything with the next flush if this member serves it. */
    void watch(WireConnection connection, long correlation, String process) {
        boolean isServed = serves(process, mKnownMembers);
        mWatchers.put(connection, new Watcher(correlation, process, isServed, false));
    }

    void closed(WireConnection connection) {
        mWatchers.remove(connection);
    }

    /** Merges a report, and forwards it to the other members if it contains anything new. */
    void receive(CrashReport report) {
        if (mEvidence.merge(report, mClock.millis())) {
            mUnsent.add(report);
            mPeers.accept(CrashReportCodec.encode(report));
        }
    }

    /** Returns everything that is known. */
    EngineNotices notices() {
        return CrashReportCodec.encodeComplete(mEvidence.report(mClock.millis()));
    }

    /** Sends what is new to the gateways that this member serves and that read fast enough. */
    void flush() {
        List<String> members = mMembers.get();
        if (!members.equals(mKnownMembers)) {
            mKnownMembers = members;
            mWatchers.replaceAll((connection, watcher) -> reassigned(watcher, members));
        }
        boolean hasNews = !mUnsent.isEmpty();
        CrashReport news = joined(mUnsent);
        mUnsent.clear();
        mWatchers.replaceAll(
                (connection, watcher) ->
                        watcher.isServed() && (hasNews || !watcher.isUpToDate())
                                ? send(connection, watcher, news)
                                : watcher);
    }

    private Watcher reassigned(Watcher watcher, List<String> members) {
        boolean isServed = serves(watcher.process(), members);
        return new Watcher(
                watcher.correlation(),
                watcher.process(),
                isServed,
                isServed && watcher.isUpToDate());
    }

    private Watcher send(WireConnection connection, Watcher watcher, CrashReport news) {
        boolean isWritable = connection.isWritable();
        if (isWritable) {
            EngineNotices notices =
                    watcher.isUpToDate() ? CrashReportCodec.encode(news) : notices();
            connection.send(watcher.correlation(), Frame.newBuilder().setEngineNotices(notices));
        }
        return new Watcher(watcher.correlation(), watcher.process(), true, isWritable);
    }

    /** Returns whether this member is among those that rank first for a gateway. */
    private boolean serves(String process, List<String> members) {
        return members.stream()
                .sorted(Comparator.comparing(member -> Digests.hexadecimal(process + member)))
                .limit(MEMBERS_PER_GATEWAY)
                .anyMatch(mAddress::equals);
    }

    private static CrashReport joined(List<CrashReport> reports) {
        List<Crash> crashes = new ArrayList<>();
        List<Acquittal> acquittals = new ArrayList<>();
        for (CrashReport report : reports) {
            crashes.addAll(report.crashes());
            acquittals.addAll(report.acquittals());
        }
        return new CrashReport(crashes, acquittals);
    }
}
