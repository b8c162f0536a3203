package org.ibisstand.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.ibisstand.base.LogLine;
import org.ibisstand.fleet.MemberList;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.MemberNotice;

/**
 * Exchanges the list of the members with the other processes of control; used on the control
 * thread.
 *
 * <p>A member with a log calls all other members and the seeds, so that a member whose disk was
 * lost and a process without a disk learn of the group although their own seeds lead nowhere.
 */
final class MemberExchange {
    /** Well below the time in which a member that lost its disk must have its vote again. */
    private static final Duration NOTICE_INTERVAL = Duration.ofSeconds(1);

    private final FleetPeers mPeers;
    private final Supplier<MemberList> mOwnLog;
    private final String mAddress;
    private final Clock mClock;
    private Set<String> mSeeds;
    private MemberList mHeard = MemberList.NONE;
    private Set<String> mTold = Set.of();
    private Instant mNextNoticeTime = Instant.MIN;

    /**
     * Creates an exchange.
     *
     * @param peers keeps the connections to the other processes of control
     * @param ownLog returns the list in the log of this process; empty without a log
     * @param address the wire address of this process
     * @param seeds the wire addresses in the settings
     * @param clock the time source, which must not jump
     */
    MemberExchange(
            FleetPeers peers,
            Supplier<MemberList> ownLog,
            String address,
            Collection<String> seeds,
            Clock clock) {
        mPeers = peers;
        mOwnLog = ownLog;
        mAddress = address;
        mSeeds = Set.copyOf(seeds);
        mClock = clock;
    }

    /** Replaces the wire addresses of the settings. */
    void follow(Collection<String> seeds) {
        mSeeds = Set.copyOf(seeds);
    }

    /** Returns the newest list that this process has in its log or heard of. */
    MemberList known() {
        return mHeard.updatedBy(mOwnLog.get());
    }

    /** Takes a list that is newer than the known one, and answers an older one with that. */
    void receive(WireConnection connection, MemberNotice notice) {
        MemberList heard = MemberList.of(notice);
        MemberList known = known();
        if (known.isNewerThan(heard)) {
            if (!known.addresses().equals(heard.addresses())) {
                connection.send(0, known.toFrame());
            }
            return;
        }
        mHeard = known.updatedBy(heard);
        if (!mHeard.addresses().equals(known.addresses())) {
            LogLine.info("members_known")
                    .with("members", mHeard.addresses())
                    .with("term", mHeard.term())
                    .with("index", mHeard.index())
                    .with("before", known.addresses())
                    .with("from", connection.remoteAddress())
                    .write();
        }
    }

    /**
     * Connects to all that are known, and tells them of the known list: all of them when it
     * changes, and again and again those that may know less. A process without a log asks all for a
     * newer one in this way.
     */
    void tick() {
        MemberList known = known();
        mPeers.connectTo(withoutSelf(known.addresses()), withoutSelf(mSeeds));
        Instant now = mClock.instant();
        boolean hasLog = !mOwnLog.get().addresses().isEmpty();
        if (!known.addresses().equals(mTold)) {
            mPeers.sendToAll(known.toFrame());
        } else if (now.isBefore(mNextNoticeTime)) {
            return;
        } else if (hasLog) {
            mPeers.sendToOthers(known.toFrame());
        } else {
            mPeers.sendToAll(known.toFrame());
        }
        mNextNoticeTime = now.plus(NOTICE_INTERVAL);
        mTold = known.addresses();
    }

    private Set<String> withoutSelf(Set<String> addresses) {
        Set<String> others = new HashSet<>(addresses);
        others.remove(mAddress);
        return others;
    }
}
