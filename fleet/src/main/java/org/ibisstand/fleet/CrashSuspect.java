package org.ibisstand.fleet;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * A part of prompts that may have crashed engines; performs no I/O.
 *
 * <p>It is quarantined after several crashes that requests with it followed: each of the requests
 * was sent after the crash before. Engines that fail together, for instance with the power of a
 * rack, therefore count once, even if the failures are noticed one after the other. Parts that were
 * in all of its failed requests are its companions: any of them may be the cause, so only requests
 * with all of them are refused. Any other request with some of them then tells which it is.
 */
final class CrashSuspect {
    /** Unrelated crashes rarely hit requests with the same part so often before one succeeds. */
    private static final int QUARANTINE_CRASHES = 3;

    /** Engines that fail together are noticed within a few round trips between regions. */
    static final long MOMENT_MILLISECONDS = 100;

    private final String mPart;
    private final TreeMap<Long, Long> mSentTimesByCrashTime = new TreeMap<>();
    private Optional<Set<String>> mCompanions = Optional.empty();

    CrashSuspect(String part) {
        mPart = part;
    }

    /** Adds a request with this part and other suspect parts that failed in a crash. */
    void addRequest(long crashedAt, long sentAt, Set<String> parts) {
        mSentTimesByCrashTime.merge(crashedAt, sentAt, Math::max);
        Set<String> companions = mCompanions.orElseGet(() -> new HashSet<>(parts));
        companions.retainAll(parts);
        companions.remove(mPart);
        mCompanions = Optional.of(companions);
    }

    boolean isQuarantined() {
        return countSuccessiveCrashes() >= QUARANTINE_CRASHES;
    }

    /** Returns the parts that were in all failed requests with this part. */
    Set<String> companions() {
        return Set.copyOf(mCompanions.orElseGet(Set::of));
    }

    private int countSuccessiveCrashes() {
        int crashes = 0;
        long previousCrash = Long.MIN_VALUE / 2;
        for (Map.Entry<Long, Long> crash : mSentTimesByCrashTime.entrySet()) {
            long crashedAt = crash.getKey();
            long sentAt = crash.getValue();
            if (crashedAt - previousCrash >= MOMENT_MILLISECONDS && sentAt >= previousCrash) {
                crashes++;
                previousCrash = crashedAt;
            }
        }
        return crashes;
    }
}
