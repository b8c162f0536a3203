package org.ibisstand.fleet;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * A part of prompts that may have crashed engines; performs no I/O.
 *
 * <p>It is quarantined after crashes at several moments. Engines that fail together, for instance
 * with the power of a rack, count as one moment. Parts that were in all of its failed requests are
 * its companions: any of them may be the cause, so only requests with all of them are refused. Any
 * other request with some of them then tells which it is.
 */
final class CrashSuspect {
    /** Unrelated crashes rarely hit requests with the same part so often before one succeeds. */
    private static final int QUARANTINE_MOMENTS = 3;

    /** Engines that fail together close their connections within a few milliseconds. */
    static final long MOMENT_MILLISECONDS = 500;

    private final String mPart;
    private final TreeSet<Long> mCrashTimes = new TreeSet<>();
    private Optional<Set<String>> mCompanions = Optional.empty();

    CrashSuspect(String part) {
        mPart = part;
    }

    /** Adds a crash and the suspect parts of a request that contained this part. */
    void addCrash(long crashedAt, Set<String> parts) {
        mCrashTimes.add(crashedAt);
        Set<String> companions = mCompanions.orElseGet(() -> new HashSet<>(parts));
        companions.retainAll(parts);
        companions.remove(mPart);
        mCompanions = Optional.of(companions);
    }

    boolean isQuarantined() {
        return countMoments() >= QUARANTINE_MOMENTS;
    }

    /** Returns the parts that were in all failed requests with this part. */
    Set<String> companions() {
        return Set.copyOf(mCompanions.orElseGet(Set::of));
    }

    private int countMoments() {
        int moments = 0;
        long momentEnd = Long.MIN_VALUE;
        for (long time : mCrashTimes) {
            if (time >= momentEnd) {
                moments++;
                momentEnd = time + MOMENT_MILLISECONDS;
            }
        }
        return moments;
    }
}
