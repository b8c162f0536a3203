package org.ibisstand.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.ibisstand.fleet.CrashReport.Acquittal;
import org.ibisstand.fleet.CrashReport.Crash;
import org.ibisstand.fleet.CrashReport.Incarnation;
import org.ibisstand.fleet.CrashReport.Suspect;

/**
 * Merges the reports of a fleet about parts of prompts that crash engines, and knows which parts
 * are quarantined; performs no I/O.
 *
 * <p>Reports may arrive in any order and more than once. Times are in milliseconds of the caller's
 * clock, which must not jump.
 */
public final class CrashEvidence {
    /** How long a crash counts; a part that still crashes engines is then quarantined anew. */
    static final long RETENTION_MILLISECONDS = 30 * 60_000;

    /** Bounds the memory; the oldest crash is dropped first. */
    static final int MAXIMUM_CRASHES = 256;

    /** Bounds the memory for one crash; more than the requests that wait at one engine. */
    static final int MAXIMUM_SUSPECTS = 64;

    /** Bounds the memory for one crash; more than the parts of any one prompt. */
    static final int MAXIMUM_SUSPECT_PARTS = 2_048;

    /** Bounds the memory; the oldest acquittal is dropped first. */
    static final int MAXIMUM_ACQUITTALS = 1_024;

    private final Map<Incarnation, CrashEntry> mCrashes = new LinkedHashMap<>();
    private final Map<String, Long> mAcquittedAt = new LinkedHashMap<>();
    private Set<String> mSuspects = Set.of();
    private Map<String, Set<String>> mQuarantined = Map.of();
    private long mNextExpiry = Long.MAX_VALUE;

    /** When an engine crashed, and when the requests that may have caused it were sent. */
    private static final class CrashEntry {
        private final Map<Set<String>, Long> mSuspects = new LinkedHashMap<>();
        private long mCrashedAt;

        CrashEntry(long crashedAt) {
            mCrashedAt = crashedAt;
        }

        /** Adds a request; returns whether it is new or was sent notably later. */
        boolean add(Set<String> parts, long sentAt) {
            Long knownSentAt = mSuspects.get(parts);
            boolean isNew =
                    knownSentAt == null
                            ? hasRoomFor(parts)
                            : sentAt >= knownSentAt + CrashSuspect.MOMENT_MILLISECONDS;
            if (isNew) {
                mSuspects.put(parts, sentAt);
            }
            return isNew;
        }

        /** Removes acquitted parts from all requests. */
        void removeParts(Set<String> acquitted) {
            Map<Set<String>, Long> previous = Map.copyOf(mSuspects);
            mSuspects.clear();
            previous.forEach(
                    (parts, sentAt) -> {
                        Set<String> remaining = new HashSet<>(parts);
                        remaining.removeAll(acquitted);
                        if (!remaining.isEmpty()) {
                            mSuspects.merge(remaining, sentAt, Math::max);
                        }
                    });
        }

        private boolean hasRoomFor(Set<String> parts) {
            int partCount = mSuspects.keySet().stream().mapToInt(Set::size).sum();
            return mSuspects.size() < MAXIMUM_SUSPECTS
                    && partCount + parts.size() <= MAXIMUM_SUSPECT_PARTS;
        }
    }

    /**
     * Merges a report.
     *
     * @param report the report of this or another process
     * @param now the current time
     * @return whether the report contained anything new
     */
    public boolean merge(CrashReport report, long now) {
        expire(now);
        boolean hasNewAcquittals = false;
        boolean areSuspectsChanged = false;
        for (Acquittal acquittal : report.acquittals()) {
            boolean isNew = mergeAcquittal(acquittal, now);
            hasNewAcquittals |= isNew;
            areSuspectsChanged |= isNew && mSuspects.contains(acquittal.part());
        }
        for (Crash crash : report.crashes()) {
            areSuspectsChanged |= mergeCrash(crash, now);
        }
        if (areSuspectsChanged) {
            update();
        }
        return hasNewAcquittals || areSuspectsChanged;
    }

    /** Returns all that is known. */
    public CrashReport report(long now) {
        expire(now);
        List<Crash> crashes = new ArrayList<>();
        mCrashes.forEach(
                (engine, entry) -> {
                    Set<Suspect> suspects = new HashSet<>();
                    entry.mSuspects.forEach(
                            (parts, sentAt) -> suspects.add(new Suspect(parts, now - sentAt)));
                    crashes.add(new Crash(engine, now - entry.mCrashedAt, suspects));
                });
        List<Acquittal> acquittals = new ArrayList<>();
        mAcquittedAt.forEach(
                (part, acquittedAt) -> acquittals.add(new Acquittal(part, now - acquittedAt)));
        return new CrashReport(crashes, acquittals);
    }

    /** Returns whether this knows anything that a report does not contain. */
    public boolean isAheadOf(CrashReport report, long now) {
        CrashEvidence other = new CrashEvidence();
        other.merge(report, now);
        return other.merge(report(now), now);
    }

    /** Returns the part because of which a request with these parts is refused, if any. */
    public Optional<String> quarantinedPart(Collection<String> parts, long now) {
        expire(now);
        return mQuarantined.isEmpty()
                ? Optional.empty()
                : parts.stream()
                        .filter(
                                part ->
                                        mQuarantined.containsKey(part)
                                                && parts.containsAll(mQuarantined.get(part)))
                        .findFirst();
    }

    /** Returns the quarantined parts, each with those that a request must have too. */
    public Map<String, Set<String>> quarantinedParts(long now) {
        expire(now);
        return mQuarantined;
    }

    /** Returns the parts that are suspects of at least one crash. */
    public Set<String> suspects(long now) {
        expire(now);
        return mSuspects;
    }

    /** Returns whether a part is a suspect of the crash of any other engine. */
    public boolean isSuspectElsewhere(String part, Incarnation engine, long now) {
        expire(now);
        return mSuspects.contains(part)
                && mCrashes.entrySet().stream()
                        .filter(crash -> !crash.getKey().equals(engine))
                        .flatMap(crash -> crash.getValue().mSuspects.keySet().stream())
                        .anyMatch(parts -> parts.contains(part));
    }

    private boolean mergeAcquittal(Acquittal acquittal, long now) {
        if (acquittal.ageMilliseconds() >= RETENTION_MILLISECONDS) {
            return false;
        }
        boolean isNew = !mAcquittedAt.containsKey(acquittal.part());
        long acquittedAt = now - acquittal.ageMilliseconds();
        mAcquittedAt.merge(acquittal.part(), acquittedAt, Math::max);
        mNextExpiry = Math.min(mNextExpiry, acquittedAt + RETENTION_MILLISECONDS);
        removeEldest(mAcquittedAt, MAXIMUM_ACQUITTALS);
        return isNew;
    }

    private boolean mergeCrash(Crash crash, long now) {
        Set<Suspect> suspects = withoutAcquitted(crash.suspects());
        if (suspects.isEmpty() || crash.ageMilliseconds() >= RETENTION_MILLISECONDS) {
            return false;
        }
        long crashedAt = now - crash.ageMilliseconds();
        CrashEntry entry =
                mCrashes.computeIfAbsent(crash.engine(), engine -> new CrashEntry(crashedAt));
        entry.mCrashedAt = Math.min(entry.mCrashedAt, crashedAt);
        boolean hasNews = false;
        for (Suspect suspect : suspects) {
            hasNews |= entry.add(suspect.parts(), now - suspect.sentAgeMilliseconds());
        }
        removeEldest(mCrashes, MAXIMUM_CRASHES);
        return hasNews;
    }

    private Set<Suspect> withoutAcquitted(Set<Suspect> suspects) {
        return suspects.stream()
                .map(
                        suspect ->
                                new Suspect(
                                        suspect.parts().stream()
                                                .filter(part -> !mAcquittedAt.containsKey(part))
                                                .collect(Collectors.toSet()),
                                        suspect.sentAgeMilliseconds()))
                .filter(suspect -> !suspect.parts().isEmpty())
                .collect(Collectors.toSet());
    }

    private static <K, V> void removeEldest(Map<K, V> entries, int maximumSize) {
        Iterator<K> keys = entries.keySet().iterator();
        while (entries.size() > maximumSize) {
            keys.next();
            keys.remove();
        }
    }

    private void expire(long now) {
        if (now < mNextExpiry) {
            return;
        }
        mCrashes.values().removeIf(entry -> now - entry.mCrashedAt >= RETENTION_MILLISECONDS);
        mAcquittedAt.values().removeIf(at -> now - at >= RETENTION_MILLISECONDS);
        update();
    }

    /** Drops what acquittals have settled, and decides anew which parts are quarantined. */
    private void update() {
        mCrashes.values().forEach(entry -> entry.removeParts(mAcquittedAt.keySet()));
        mCrashes.values().removeIf(entry -> entry.mSuspects.isEmpty());
        mNextExpiry = Long.MAX_VALUE;
        Map<String, CrashSuspect> suspects = new HashMap<>();
        for (CrashEntry entry : mCrashes.values()) {
            entry.mSuspects.forEach(
                    (parts, sentAt) ->
                            parts.forEach(
                                    part ->
                                            suspects.computeIfAbsent(part, CrashSuspect::new)
                                                    .addRequest(entry.mCrashedAt, sentAt, parts)));
            mNextExpiry = Math.min(mNextExpiry, entry.mCrashedAt + RETENTION_MILLISECONDS);
        }
        for (long acquittedAt : mAcquittedAt.values()) {
            mNextExpiry = Math.min(mNextExpiry, acquittedAt + RETENTION_MILLISECONDS);
        }
        Map<String, Set<String>> quarantined = new HashMap<>();
        suspects.forEach(
                (part, suspect) -> {
                    if (suspect.isQuarantined()) {
                        quarantined.put(part, suspect.companions());
                    }
                });
        mSuspects = new HashSet<>(suspects.keySet());
        mQuarantined = Map.copyOf(quarantined);
    }
}
