package org.ibisstand.control;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.ibisstand.base.Digests;
import org.ibisstand.control.message.SpentKeys;

/**
 * Remembers and counts the opaque keys, those without a timestamp, that teams have used; an expired
 * one takes eight bytes. Nothing in such a key shows whether it is new, so it has to be remembered.
 * If two keys have the same digest, the second is refused; neither runs twice.
 */
final class OpaqueKeys {
    private final TreeMap<String, TeamKeys> mTeams = new TreeMap<>();
    private long mUsedByAllTeams;

    /** Returns whether the key was used by a claim that is past its retention. */
    boolean isExpired(ClaimKey key) {
        TeamKeys keys = mTeams.get(key.team());
        return keys != null && Arrays.binarySearch(keys.mExpiredDigests, digestOf(key)) >= 0;
    }

    /** Returns the number of keys that the team has used, retained and expired. */
    long usedBy(String team) {
        TeamKeys keys = mTeams.get(team);
        return keys == null ? 0 : keys.mRetainedCount + keys.mExpiredDigests.length;
    }

    /** Returns the number of keys that all teams together have used. */
    long usedByAllTeams() {
        return mUsedByAllTeams;
    }

    /** Counts a key whose claim is in retention. */
    void addRetained(ClaimKey key) {
        mUsedByAllTeams++;
        mTeams.computeIfAbsent(key.team(), team -> new TeamKeys()).mRetainedCount++;
    }

    /** Moves a key from the retained to the expired keys. */
    void expire(ClaimKey key) {
        TeamKeys keys = mTeams.get(key.team());
        keys.mRetainedCount--;
        if (!keys.addExpired(digestOf(key))) {
            mUsedByAllTeams--;
        }
    }

    Iterable<SpentKeys> snapshot() {
        return mTeams.entrySet().stream()
                .filter(entry -> entry.getValue().mExpiredDigests.length > 0)
                .map(OpaqueKeys::toMessage)
                .toList();
    }

    void restore(SpentKeys spentKeys) {
        TeamKeys keys = mTeams.computeIfAbsent(spentKeys.getTeam(), team -> new TeamKeys());
        mUsedByAllTeams += spentKeys.getDigestsCount();
        keys.mExpiredDigests =
                spentKeys.getDigestsList().stream().mapToLong(Long::longValue).toArray();
    }

    private static SpentKeys toMessage(Map.Entry<String, TeamKeys> entry) {
        SpentKeys.Builder message = SpentKeys.newBuilder().setTeam(entry.getKey());
        for (long digest : entry.getValue().mExpiredDigests) {
            message.addDigests(digest);
        }
        return message.build();
    }

    private static long digestOf(ClaimKey key) {
        byte[] service = key.service().getBytes(StandardCharsets.UTF_8);
        byte[] value = key.key().getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.wrap(Digests.sha256(service, value)).getLong();
    }

    /**
     * The keys of one team: the number of retained keys, and the sorted digests of the expired
     * ones.
     */
    private static final class TeamKeys {
        private long[] mExpiredDigests = new long[0];
        private long mRetainedCount;

        private boolean addExpired(long digest) {
            int searchResult = Arrays.binarySearch(mExpiredDigests, digest);
            if (searchResult >= 0) {
                return false;
            }
            int insertionPoint = -searchResult - 1;
            long[] enlarged = Arrays.copyOf(mExpiredDigests, mExpiredDigests.length + 1);
            System.arraycopy(
                    mExpiredDigests,
                    insertionPoint,
                    enlarged,
                    insertionPoint + 1,
                    mExpiredDigests.length - insertionPoint);
            enlarged[insertionPoint] = digest;
            mExpiredDigests = enlarged;
            return true;
        }
    }
}
