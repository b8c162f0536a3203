package org.ibisstand.control;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.ibisstand.wire.message.ServerRecord;
import org.ibisstand.wire.message.ServerRecord.State;

/**
 * The backend servers that announced themselves to this member or to another one; used on the
 * control thread alone.
 *
 * <p>Members merge what they hear without a leader: of two records of one server the later
 * incarnation wins, then a server that is gone, then the higher sequence. So a record that was
 * delayed by a partition never brings back a server that left or was replaced.
 */
final class ServerDirectory {
    /**
     * Announcements that may be lost before a server counts as gone; one more than a long delay.
     */
    private static final int MISSED_ANNOUNCEMENTS = 4;

    /** How long a server that left is remembered: longer than any announcement is delayed. */
    private static final Duration REMEMBERED = Duration.ofSeconds(60);

    private final Duration mSilenceLimit;
    private final Instant mCompleteAt;
    private final Map<String, Heard> mServers = new TreeMap<>();
    private final Map<String, String> mServerAtAddress = new HashMap<>();
    private Instant mLastTick;
    private Instant mNextForgetting;
    private long mForgottenRevision;
    private long mRevision = 1;

    private ServerDirectory(Duration announcementInterval, Instant now) {
        mSilenceLimit = announcementInterval.multipliedBy(MISSED_ANNOUNCEMENTS);
        mCompleteAt = now.plus(mSilenceLimit);
        mLastTick = now;
        mNextForgetting = now.plus(REMEMBERED);
    }

    /**
     * Returns an empty directory.
     *
     * @param announcementInterval how often servers announce themselves
     * @param now the present time
     */
    static ServerDirectory create(Duration announcementInterval, Instant now) {
        return new ServerDirectory(announcementInterval, now);
    }

    /**
     * Takes an announcement, however late it comes.
     *
     * @param announced what a server said of itself
     * @param now the present time
     * @return whether the record told something that is worth passing on
     */
    boolean heard(ServerRecord announced, Instant now) {
        Heard known = mServers.get(announced.getServer());
        if (known != null && !isNewer(announced, known.record())) {
            if (isSameIncarnation(announced, known.record())
                    && announced.getSequence() == known.record().getSequence()) {
                known.mAt = now;
            }
            return false;
        }
        if (announced.getState() != State.GONE && isOfOlderTenant(announced)) {
            return false;
        }
        ServerRecord record = keepDraining(announced, known);
        takeAddress(record, now);
        boolean changed = known == null || known.mSilent || !isSameTo(record, known.record());
        long revision = changed ? ++mRevision : known.mRevision;
        mServers.put(record.getServer(), new Heard(record, now, revision));
        return true;
    }

    /** Returns the incarnation that is known of a server, if it announced itself. */
    Optional<ServerRecord> find(String server) {
        return Optional.ofNullable(mServers.get(server)).map(Heard::record);
    }

    /** Leaves out servers that fell silent, and forgets those that left long ago. */
    void tick(Instant now) {
        Duration pause = Duration.between(mLastTick, now);
        mLastTick = now;
        if (pause.compareTo(mSilenceLimit.dividedBy(4)) > 0) {
            mServers.values().forEach(heard -> heard.mAt = heard.mAt.plus(pause));
        }
        for (Heard heard : mServers.values()) {
            if (!heard.mSilent && heard.mAt.plus(mSilenceLimit).isBefore(now)) {
                heard.mSilent = true;
                heard.mRevision = ++mRevision;
            }
        }
        if (!now.isBefore(mNextForgetting)) {
            forget(now);
        }
    }

    /** Seldom, since watchers get whole lists afterwards. */
    private void forget(Instant now) {
        mNextForgetting = now.plus(REMEMBERED);
        boolean hasForgotten =
                mServers.values()
                        .removeIf(
                                heard ->
                                        heard.isOver() && heard.mAt.plus(REMEMBERED).isBefore(now));
        if (hasForgotten) {
            mForgottenRevision = ++mRevision;
        }
    }

    /** Returns whether the directory has run long enough to have heard of all servers. */
    boolean isComplete(Instant now) {
        return !now.isBefore(mCompleteAt);
    }

    /** Returns a number that grows with every change that watchers should learn. */
    long revision() {
        return mRevision;
    }

    /** Returns whether changes since a revision can be told, rather than the whole list. */
    boolean tellsChangesSince(long revision) {
        return revision > 0 && revision >= mForgottenRevision;
    }

    /** Returns the listed servers whose records changed after a revision. */
    List<ServerRecord> changedSince(long revision) {
        return mServers.values().stream()
                .filter(heard -> !heard.mSilent && heard.mRevision > revision)
                .map(Heard::record)
                .toList();
    }

    /** Returns the servers that fell silent after a revision. */
    List<String> unlistedSince(long revision) {
        return mServers.values().stream()
                .filter(heard -> heard.mSilent && heard.mRevision > revision)
                .map(heard -> heard.record().getServer())
                .toList();
    }

    List<ServerRecord> records() {
        return mServers.values().stream()
                .filter(heard -> !heard.mSilent)
                .map(Heard::record)
                .toList();
    }

    private boolean isNewer(ServerRecord record, ServerRecord known) {
        if (!isSameIncarnation(record, known)) {
            return record.getBornMilliseconds() > known.getBornMilliseconds();
        }
        if (known.getState() == State.GONE) {
            return false;
        }
        return record.getState() == State.GONE || record.getSequence() > known.getSequence();
    }

    /** Returns whether a server that started later has announced itself at the same address. */
    private boolean isOfOlderTenant(ServerRecord record) {
        String tenant = mServerAtAddress.get(record.getAddress());
        if (tenant == null || tenant.equals(record.getServer())) {
            return false;
        }
        Heard heard = mServers.get(tenant);
        return heard != null && heard.mRecord.getBornMilliseconds() > record.getBornMilliseconds();
    }

    // A server that has begun to leave never comes back in the same incarnation.
    private static ServerRecord keepDraining(ServerRecord record, Heard known) {
        boolean isLeaving =
                known != null
                        && isSameIncarnation(record, known.record())
                        && known.mRecord.getState() == State.DRAINING
                        && record.getState() == State.READY;
        return isLeaving ? record.toBuilder().setState(State.DRAINING).build() : record;
    }

    private void takeAddress(ServerRecord record, Instant now) {
        if (record.getState() == State.GONE) {
            return;
        }
        String former = mServerAtAddress.put(record.getAddress(), record.getServer());
        Heard heard = former == null ? null : mServers.get(former);
        if (heard != null
                && !former.equals(record.getServer())
                && heard.mRecord.getAddress().equals(record.getAddress())
                && heard.mRecord.getState() != State.GONE) {
            heard.mRecord = heard.mRecord.toBuilder().setState(State.GONE).build();
            heard.mAt = now;
            heard.mRevision = ++mRevision;
        }
    }

    private static boolean isSameIncarnation(ServerRecord one, ServerRecord other) {
        return one.getBornMilliseconds() == other.getBornMilliseconds();
    }

    private static boolean isSameTo(ServerRecord record, ServerRecord known) {
        return record.toBuilder()
                .setSequence(0)
                .build()
                .equals(known.toBuilder().setSequence(0).build());
    }

    /** The newest record of a server, and when it was heard. */
    private static final class Heard {
        private ServerRecord mRecord;
        private Instant mAt;
        private long mRevision;
        private boolean mSilent;

        Heard(ServerRecord record, Instant at, long revision) {
            mRecord = record;
            mAt = at;
            mRevision = revision;
        }

        ServerRecord record() {
            return mRecord;
        }

        boolean isOver() {
            return mSilent || mRecord.getState() == State.GONE;
        }
    }
}
