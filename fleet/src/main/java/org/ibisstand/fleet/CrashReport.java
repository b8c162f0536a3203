package org.ibisstand.fleet;

import java.util.List;
import java.util.Set;

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
     * @param suspects the requests that waited for a first event at the engine
     */
    public record Crash(Incarnation engine, long ageMilliseconds, Set<Suspect> suspects) {
        /** Copies the set, which makes the crash immutable. */
        public Crash {
            suspects = Set.copyOf(suspects);
        }
    }

    /**
     * A request that may have caused a crash.
     *
     * @param parts the parts of its prompt of which any may be the cause
     * @param sentAgeMilliseconds how long ago it was sent to the engine
     */
    public record Suspect(Set<String> parts, long sentAgeMilliseconds) {
        /** Copies the set, which makes the suspect immutable. */
        public Suspect {
            parts = Set.copyOf(parts);
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
