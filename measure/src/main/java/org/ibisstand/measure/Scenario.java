package org.ibisstand.measure;

import java.util.List;
import java.util.Set;

/**
 * What happens in a run besides the usual traffic.
 *
 * @param name the name in reports
 * @param crest whether demand rises steeply for some seconds
 * @param slowed whether one engine in six and one service in three is slowed at any moment
 * @param kinds the sorts of work that are sent
 * @param shift whether the hot prefixes change in the middle
 * @param restarts whether a third of the entries loses its state in the middle
 */
record Scenario(
        String name,
        boolean crest,
        boolean slowed,
        Set<Request.Kind> kinds,
        boolean shift,
        boolean restarts) {
    /** When measuring begins, after the caches are warm. */
    static final double WARM_MILLISECONDS = 20_000;

    /** When the first crest, the shift or the restart begins. */
    static final double EVENT_MILLISECONDS = 50_000;

    /** How many crests a run has. */
    static final int CRESTS = 3;

    /** From the begin of one crest to the begin of the next. */
    static final double CREST_PERIOD_MILLISECONDS = 30_000;

    /** How long a crest lasts. */
    static final double CREST_MILLISECONDS = 8_000;

    /** How long demand is even before a crest. */
    static final double CALM_MILLISECONDS = 8_000;

    /** When the last request arrives. */
    static final double END_MILLISECONDS = 140_000;

    private static final Set<Request.Kind> ALL = Set.of(Request.Kind.values());

    static Scenario steady() {
        return new Scenario("steady", false, false, ALL, false, false);
    }

    static Scenario crested() {
        return new Scenario("crest", true, false, ALL, false, false);
    }

    static Scenario slowedServers() {
        return new Scenario("slowed", false, true, ALL, false, false);
    }

    static Scenario shortAlone() {
        Set<Request.Kind> kinds =
                Set.of(Request.Kind.SHORT, Request.Kind.LOOKUP, Request.Kind.ORDER);
        return new Scenario("alone", false, false, kinds, false, false);
    }

    static Scenario shifted() {
        return new Scenario("shift", false, false, ALL, true, false);
    }

    static Scenario restarted() {
        return new Scenario("restart", false, false, ALL, false, true);
    }

    static List<Scenario> all() {
        return List.of(steady(), crested(), slowedServers(), shortAlone(), shifted(), restarted());
    }

    /** Returns when a crest begins. */
    static double crestStart(int crest) {
        return EVENT_MILLISECONDS + crest * CREST_PERIOD_MILLISECONDS;
    }

    /** Returns whether a time belongs to a crest's window. */
    static boolean inCrest(double time) {
        double into = (time - EVENT_MILLISECONDS) % CREST_PERIOD_MILLISECONDS;
        return time >= EVENT_MILLISECONDS && time < crestStart(CRESTS) && into < CREST_MILLISECONDS;
    }

    /** Returns whether a time belongs to the even demand before a crest. */
    static boolean isCalm(double time) {
        return !inCrest(time) && inCrest(time + CALM_MILLISECONDS);
    }
}
