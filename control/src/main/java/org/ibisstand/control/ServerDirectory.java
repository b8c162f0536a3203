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
 * The backend servers that announced themselves to this or another member; used only on the control
 * thread.
 *
 * <p>Members merge records without a leader. Of two records of a server, the one of the later
 * incarnation wins; within an incarnation, GONE wins over other states, then the higher sequence
 * wins. A record that was delayed by a network partition therefore never restores a server that
 * left or was replaced.
 */
final class ServerDirectory {
    /**
     * Successive missed announcements after which a server is unlisted. A long delay can cause one
     * fewer.
     */
    private static final int MISSED_ANNOUNCEMENT_LIMIT = 4;

    /** How long a server that left is remembered: longer than an announcement can be delayed. */
    private static final Duration GONE_SERVER_RETENTION = Duration.ofSeconds(60);

    /** Many times the servers of the largest fleet; bounds what announcements can make it keep. */
    private static final int MAXIMUM_SERVERS = 20_000;

    private final Duration mAnnouncementTimeout;
    private final Instant mCompleteAt;
    private final Map<String, ServerEntry> mServers = new TreeMap<>();
    private final Map<String, String> mServersByAddress = new HashMap<>();
    private Instant mLastTick;
    private Instant mNextPurge;
    private long mLastPurgeRevision;
    private long mRevision = 1;

    private ServerDirectory(Duration announcementInterval, Instant now) {
        mAnnouncementTimeout = announcementInterval.multipliedBy(MISSED_ANNOUNCEMENT_LIMIT);
        mCompleteAt = now.plus(mAnnouncementTimeout);
        mLastTick = now;
        mNextPurge = now.plus(GONE_SERVER_RETENTION);
    }

    /**
     * Returns an empty directory.
     *
     * @param announcementInterval the interval at which servers announce themselves
     * @param now the current time
     */
    static ServerDirectory create(Duration announcementInterval, Instant now) {
        return new ServerDirectory(announcementInterval, now);
    }

    /**
     * Merges an announcement, which may be delayed or repeated.
     *
     * @param announced the record that the server sent
     * @param now the current time
     * @return whether the record was accepted, so that other members need it too
     */
    boolean merge(ServerRecord announced, Instant now) {
        ServerEntry known = mServers.get(announced.getServer());
        if (known == null && mServers.size() >= MAXIMUM_SERVERS) {
            return false;
        }
        if (known != null && !isNewer(announced, known) && !isBackAfterSilence(announced, known)) {
            if (isSameIncarnation(announced, known.record())
                    && announced.getSequence() == known.record().getSequence()) {
                known.mLastAnnounced = now;
            }
            return false;
        }
        if (announced.getState() != State.GONE && isReplacedAtAddress(announced)) {
            return false;
        }
        ServerRecord record = keepDraining(announced, known);
        assignAddress(record, now);
        boolean isChanged =
                known == null || known.mUnlisted || !isSameExceptSequence(record, known.record());
        long revision = isChanged ? ++mRevision : known.mRevision;
        mServers.put(record.getServer(), new ServerEntry(record, now, revision));
        return true;
    }

    /** Returns the newest record of a server, if it announced itself. */
    Optional<ServerRecord> find(String server) {
        return Optional.ofNullable(mServers.get(server)).map(ServerEntry::record);
    }

    /**
     * Unlists servers that stopped announcing themselves, and removes those that left or were
     * unlisted long ago.
     */
    void tick(Instant now) {
        Duration pause = Duration.between(mLastTick, now);
        mLastTick = now;
        // A paused member receives no announcements, so the pause does not count as silence.
        if (pause.compareTo(mAnnouncementTimeout.dividedBy(4)) > 0) {
            mServers.values()
                    .forEach(entry -> entry.mLastAnnounced = entry.mLastAnnounced.plus(pause));
        }
        for (ServerEntry entry : mServers.values()) {
            if (!entry.mUnlisted && entry.mLastAnnounced.plus(mAnnouncementTimeout).isBefore(now)) {
                entry.mUnlisted = true;
                entry.mRevision = ++mRevision;
            }
        }
        if (!now.isBefore(mNextPurge)) {
            purge(now);
        }
    }

    /** Runs rarely, since each purge makes watchers receive the full list again. */
    private void purge(Instant now) {
        mNextPurge = now.plus(GONE_SERVER_RETENTION);
        boolean hasPurged =
                mServers.values()
                        .removeIf(
                                entry ->
                                        entry.isUnlistedOrGone()
                                                && entry.mLastAnnounced
                                                        .plus(GONE_SERVER_RETENTION)
                                                        .isBefore(now));
        if (hasPurged) {
            mLastPurgeRevision = ++mRevision;
        }
    }

    /**
     * Returns whether the directory has run long enough for all servers to have announced
     * themselves.
     */
    boolean isComplete(Instant now) {
        return !now.isBefore(mCompleteAt);
    }

    /** Returns a number that grows with every change to send to watchers. */
    long revision() {
        return mRevision;
    }

    /**
     * Returns whether the changes since a revision are known; otherwise the full list must be sent.
     */
    boolean canListChangesSince(long revision) {
        return revision > 0 && revision >= mLastPurgeRevision;
    }

    /** Returns the listed servers whose records changed after a revision. */
    List<ServerRecord> changedSince(long revision) {
        return mServers.values().stream()
                .filter(entry -> !entry.mUnlisted && entry.mRevision > revision)
                .map(ServerEntry::record)
                .toList();
    }

    /** Returns the servers that were unlisted after a revision. */
    List<String> unlistedSince(long revision) {
        return mServers.values().stream()
                .filter(entry -> entry.mUnlisted && entry.mRevision > revision)
                .map(entry -> entry.record().getServer())
                .toList();
    }

    List<ServerRecord> records() {
        return mServers.values().stream()
                .filter(entry -> !entry.mUnlisted)
                .map(ServerEntry::record)
                .toList();
    }

    private static boolean isNewer(ServerRecord record, ServerEntry entry) {
        ServerRecord known = entry.mRecord;
        if (!isSameIncarnation(record, known)) {
            return record.getBornMilliseconds() > known.getBornMilliseconds();
        }
        if (known.getState() == State.GONE) {
            return false;
        }
        return record.getState() == State.GONE || record.getSequence() > known.getSequence();
    }

    /**
     * Returns whether a server announces itself again that another writer's record outranks or
     * displaced: that record has not been repeated, whereas servers repeat theirs.
     */
    private boolean isBackAfterSilence(ServerRecord record, ServerEntry entry) {
        if (!isSameIncarnation(record, entry.mRecord) || record.getState() == State.GONE) {
            return false;
        }
        return entry.mDisplaced
                ? record.getSequence() > entry.mRecord.getSequence()
                        && otherServerAt(record).filter(other -> !other.mUnlisted).isEmpty()
                : entry.mUnlisted
                        && entry.mRecord.getState() != State.GONE
                        && record.getSequence() < entry.mRecord.getSequence();
    }

    /** Returns whether a server that started later announces itself at the same address. */
    private boolean isReplacedAtAddress(ServerRecord record) {
        return otherServerAt(record)
                .filter(other -> !other.mUnlisted)
                .filter(other -> other.mRecord.getBornMilliseconds() > record.getBornMilliseconds())
                .isPresent();
    }

    /** Returns another server that announced itself last at the address of a record. */
    private Optional<ServerEntry> otherServerAt(ServerRecord record) {
        return Optional.ofNullable(mServersByAddress.get(record.getAddress()))
                .filter(server -> !server.equals(record.getServer()))
                .map(mServers::get);
    }

    // A server that is draining never becomes ready again in the same incarnation.
    private static ServerRecord keepDraining(ServerRecord record, ServerEntry known) {
        boolean staysDraining =
                known != null
                        && isSameIncarnation(record, known.record())
                        && known.mRecord.getState() == State.DRAINING
                        && record.getState() == State.READY;
        return staysDraining ? record.toBuilder().setState(State.DRAINING).build() : record;
    }

    private void assignAddress(ServerRecord record, Instant now) {
        if (record.getState() == State.GONE) {
            return;
        }
        String previousServer = mServersByAddress.put(record.getAddress(), record.getServer());
        ServerEntry entry = previousServer == null ? null : mServers.get(previousServer);
        if (entry != null
                && !previousServer.equals(record.getServer())
                && entry.mRecord.getAddress().equals(record.getAddress())
                && entry.mRecord.getState() != State.GONE) {
            entry.mRecord = entry.mRecord.toBuilder().setState(State.GONE).build();
            entry.mDisplaced = true;
            entry.mLastAnnounced = now;
            entry.mRevision = ++mRevision;
        }
    }

    private static boolean isSameIncarnation(ServerRecord first, ServerRecord second) {
        return first.getBornMilliseconds() == second.getBornMilliseconds();
    }

    private static boolean isSameExceptSequence(ServerRecord record, ServerRecord known) {
        return record.toBuilder()
                .setSequence(0)
                .build()
                .equals(known.toBuilder().setSequence(0).build());
    }

    /** The newest record of a server, and when the server last announced itself. */
    private static final class ServerEntry {
        private ServerRecord mRecord;
        private Instant mLastAnnounced;
        private long mRevision;
        private boolean mUnlisted;
        private boolean mDisplaced;

        ServerEntry(ServerRecord record, Instant lastAnnounced, long revision) {
            mRecord = record;
            mLastAnnounced = lastAnnounced;
            mRevision = revision;
        }

        ServerRecord record() {
            return mRecord;
        }

        boolean isUnlistedOrGone() {
            return mUnlisted || mRecord.getState() == State.GONE;
        }
    }
}
