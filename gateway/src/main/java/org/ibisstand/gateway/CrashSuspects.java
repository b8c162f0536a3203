package org.ibisstand.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.ibisstand.fleet.CrashReport.Crash;
import org.ibisstand.fleet.CrashReport.Incarnation;
import org.ibisstand.fleet.CrashReport.Suspect;
import org.ibisstand.settings.Address;

/**
 * Determines which parts of prompts may have crashed an engine, from the requests that this gateway
 * sent there; performs no I/O.
 *
 * <p>A request that failed before its first event makes its parts suspects only once it is known
 * that its engine crashed: a single connection may also break for other reasons. Parts that an
 * engine ever responded to are never suspects.
 */
final class CrashSuspects {
    /** How long a failed request may wait for the news that its engine crashed. */
    private static final long PENDING_MILLISECONDS = 10_000;

    /** Bounds the memory; the least recently used part is dropped first. */
    static final int MAXIMUM_ACQUITTED_PARTS = 8_192;

    /** More than the engines that fail within the time that failures wait. */
    private static final int MAXIMUM_ENGINES = 256;

    /** More than the requests that wait at one engine. */
    private static final int MAXIMUM_REQUESTS = 64;

    private final Set<String> mAcquitted = new LinkedHashSet<>();
    private final Map<Incarnation, Failures> mFailures = new LinkedHashMap<>();

    /** The failed requests of one engine. */
    private static final class Failures {
        private final Address mAddress;
        private final long mFirstFailedAt;
        private final Map<Set<String>, Long> mSentTimes = new LinkedHashMap<>();
        private boolean mCrashed;

        Failures(Address address, long firstFailedAt) {
            mAddress = address;
            mFirstFailedAt = firstFailedAt;
        }
    }

    /** Records that an engine responded to a prompt with these parts. */
    void recordResponse(Collection<String> parts) {
        for (String part : parts) {
            mAcquitted.remove(part);
            mAcquitted.add(part);
        }
        while (mAcquitted.size() > MAXIMUM_ACQUITTED_PARTS) {
            mAcquitted.remove(mAcquitted.iterator().next());
        }
    }

    boolean isAcquitted(String part) {
        return mAcquitted.contains(part);
    }

    /**
     * Records a request that failed before its first event.
     *
     * @param engine the engine that it was sent to
     * @param address the address of the engine
     * @param parts the parts of its prompt that requests may share
     * @param sentAt when it was sent
     * @param now the current time
     * @return whether its engine has to be checked for a crash
     */
    boolean recordFailure(
            Incarnation engine, Address address, Collection<String> parts, long sentAt, long now) {
        expire(now);
        Set<String> suspects = withoutAcquitted(parts);
        if (suspects.isEmpty()) {
            return false;
        }
        Failures failures = mFailures.computeIfAbsent(engine, key -> new Failures(address, now));
        boolean isFirst = failures.mSentTimes.isEmpty();
        if (failures.mSentTimes.size() < MAXIMUM_REQUESTS
                || failures.mSentTimes.containsKey(suspects)) {
            failures.mSentTimes.merge(suspects, sentAt, Math::max);
        }
        if (mFailures.size() > MAXIMUM_ENGINES) {
            mFailures.remove(mFailures.keySet().iterator().next());
        }
        return isFirst && !failures.mCrashed;
    }

    /**
     * Returns the engines with failed requests that are not known to have crashed, with their
     * addresses.
     */
    Map<Incarnation, Address> uncheckedEngines(long now) {
        expire(now);
        Map<Incarnation, Address> engines = new HashMap<>();
        mFailures.forEach(
                (engine, failures) -> {
                    if (!failures.mCrashed) {
                        engines.put(engine, failures.mAddress);
                    }
                });
        return engines;
    }

    /** Records that an engine still runs, so that its failed requests did not crash it. */
    void recordAlive(Incarnation engine) {
        Failures failures = mFailures.get(engine);
        if (failures != null && !failures.mCrashed) {
            mFailures.remove(engine);
        }
    }

    /** Records that an engine with failed requests crashed. */
    void recordCrash(Incarnation engine) {
        Optional.ofNullable(mFailures.get(engine)).ifPresent(failures -> failures.mCrashed = true);
    }

    /** Returns the crash of an engine with its suspects, if it is known to have crashed. */
    Optional<Crash> crash(Incarnation engine, long now) {
        expire(now);
        return Optional.ofNullable(mFailures.get(engine))
                .filter(failures -> failures.mCrashed)
                .map(
                        failures ->
                                new Crash(
                                        engine,
                                        now - failures.mFirstFailedAt,
                                        suspects(failures, now)))
                .filter(crash -> !crash.suspects().isEmpty());
    }

    private Set<Suspect> suspects(Failures failures, long now) {
        return failures.mSentTimes.entrySet().stream()
                .map(
                        request ->
                                new Suspect(
                                        withoutAcquitted(request.getKey()),
                                        now - request.getValue()))
                .filter(suspect -> !suspect.parts().isEmpty())
                .collect(Collectors.toSet());
    }

    private Set<String> withoutAcquitted(Collection<String> parts) {
        return parts.stream().filter(part -> !isAcquitted(part)).collect(Collectors.toSet());
    }

    private void expire(long now) {
        mFailures
                .values()
                .removeIf(failures -> now - failures.mFirstFailedAt >= PENDING_MILLISECONDS);
    }
}
