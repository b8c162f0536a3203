package org.ibisstand.fleet;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What one process knows of engine crashes and of the parts of prompts that may have caused them.
 *
 * @param crashes the crashes with the parts that are suspects
 * @param acquittals the parts that are known not to crash engines
 */
public record CrashReport(List<Crash> crashes, List<Acquittal> acquittals) {
    /** Nothing is known. */
    public static final CrashReport EMPTY = new CrashReport(List.of(), List.of());

    /** Copies the lists, which makes the report immutable. */
    public CrashReport {
        crashes = List.copyOf(crashes);
        acquittals = List.copyOf(acquittals);
    }

    /** Returns whether the report tells nothing. */
    public boolean isEmpty() {
        return crashes.isEmpty() && acquittals.isEmpty();
    }

    /**
     * One run of an engine, from its start to its end.
     *
     * @param server the identifier of the backend server
     * @param bornMilliseconds when it started, in milliseconds of the Unix epoch
     */
    public record Incarnation(String server, long bornMilliseconds) {}

    /**
     * The crash of an engine. Ages instead of times let processes with different clocks compare
     * crashes.
     *
     * @param engine the incarnation that ended
     * @param ageMilliseconds how long ago the crash was detected
     * @param suspects for each request that waited for a first event at the engine, the parts of
     *     its prompt that may have caused the crash
     */
    public record Crash(Incarnation engine, long ageMilliseconds, Set<Set<String>> suspects) {
        /** Copies the sets, which makes the crash immutable. */
        public Crash {
            suspects = suspects.stream().map(Set::copyOf).collect(Collectors.toUnmodifiableSet());
        }
    }

    /**
     * States that an engine responded to a prompt with the part.
     *
     * @param part the part
     * @param ageMilliseconds how long ago the engine responded
     */
    public record Acquittal(String part, long ageMilliseconds) {}
}
