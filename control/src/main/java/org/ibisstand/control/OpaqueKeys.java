package org.ibisstand.control;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.ibisstand.base.Digests;
import org.ibisstand.control.message.SpentKeys;

/**
 * Remembers every key without a time that a team has used, in eight bytes each, and counts them.
 * Such a key can be told from a new one only by memory; two keys with one digest cost a refusal,
 * never a second run.
 */
final class OpaqueKeys {
    private final TreeMap<String, TeamKeys> mTeams = new TreeMap<>();
    private long mUsedInAll;

    /** Returns whether the key has expired. */
    boolean isSpent(ClaimKey key) {
        TeamKeys keys = mTeams.get(key.team());
        return keys != null && Arrays.binarySearch(keys.mSpent, digestOf(key)) >= 0;
    }

    /** Returns how many keys the team has used, whether in retention or expired. */
    long used(String team) {
        TeamKeys keys = mTeams.get(team);
        return keys == null ? 0 : keys.mOpen + keys.mSpent.length;
    }

    /** Returns how many keys all teams have used. */
    long usedInAll() {
        return mUsedInAll;
    }

    /** Counts a key that is in retention. */
    void open(ClaimKey key) {
        mUsedInAll++;
        mTeams.computeIfAbsent(key.team(), team -> new TeamKeys()).mOpen++;
    }

    /** Moves a key from retention to the expired ones. */
    void spend(ClaimKey key) {
        TeamKeys keys = mTeams.get(key.team());
        keys.mOpen--;
        if (!keys.insert(digestOf(key))) {
            mUsedInAll--;
        }
    }

    Iterable<SpentKeys> snapshot() {
        return mTeams.entrySet().stream()
                .filter(entry -> entry.getValue().mSpent.length > 0)
                .map(OpaqueKeys::message)
                .toList();
    }

    void restore(SpentKeys spent) {
        TeamKeys keys = mTeams.computeIfAbsent(spent.getTeam(), team -> new TeamKeys());
        mUsedInAll += spent.getDigestsCount();
        keys.mSpent = spent.getDigestsList().stream().mapToLong(Long::longValue).toArray();
    }

    private static SpentKeys message(Map.Entry<String, TeamKeys> entry) {
        SpentKeys.Builder message = SpentKeys.newBuilder().setTeam(entry.getKey());
        for (long digest : entry.getValue().mSpent) {
            message.addDigests(digest);
        }
        return message.build();
    }

    private static long digestOf(ClaimKey key) {
        byte[] service = key.service().getBytes(StandardCharsets.UTF_8);
        byte[] value = key.key().getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.wrap(Digests.sha256(service, value)).getLong();
    }

    /** The keys of one team: a count of those in retention, sorted digests of the expired ones. */
    private static final class TeamKeys {
        private long[] mSpent = new long[0];
        private long mOpen;

        private boolean insert(long digest) {
            int found = Arrays.binarySearch(mSpent, digest);
            if (found >= 0) {
                return false;
            }
            int place = -found - 1;
            long[] grown = Arrays.copyOf(mSpent, mSpent.length + 1);
            System.arraycopy(mSpent, place, grown, place + 1, mSpent.length - place);
            grown[place] = digest;
            mSpent = grown;
            return true;
        }
    }
}
