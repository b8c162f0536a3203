package org.ibisstand.measure;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** Figures over a list of requests. */
final class Statistics {
    private static final double RECOVERY_STEP_MILLISECONDS = 250;
    private static final double RECOVERY_WINDOW_MILLISECONDS = 1000;

    private Statistics() {}

    /** Returns a percentile of a value over requests, zero if there are none. */
    static double percentile(
            double share, List<Outcome> outcomes, ToDoubleFunction<Outcome> value) {
        double[] sorted = outcomes.stream().mapToDouble(value).sorted().toArray();
        if (sorted.length == 0) {
            return 0;
        }
        int rank = (int) Math.ceil(share * sorted.length) - 1;
        return sorted[Math.clamp(rank, 0, sorted.length - 1)];
    }

    /** Returns the time to first token over the time of the same prompt on an idle cold engine. */
    static double slowdown(Outcome outcome) {
        return outcome.firstToken() / outcome.request().coldMilliseconds();
    }

    /** Returns the share of whole pieces that were found in a cache. */
    static double hitRate(List<Outcome> outcomes) {
        long held = 0;
        long all = 0;
        for (Outcome outcome : outcomes) {
            if (outcome.answered()) {
                held += outcome.cachedPieces();
                all += outcome.request().chain().length();
            }
        }
        return all == 0 ? 0 : (double) held / all;
    }

    /** Returns the share of requests whose first token came in time. */
    static double inTime(List<Outcome> outcomes) {
        long inTime = outcomes.stream().filter(Outcome::inTime).count();
        return outcomes.isEmpty() ? 1 : (double) inTime / outcomes.size();
    }

    /** Returns how many milliseconds after an instant the share in time is back at a level. */
    static double recovery(List<Outcome> outcomes, double after, double until, double level) {
        double last = after;
        for (double at = after; at < until; at += RECOVERY_STEP_MILLISECONDS) {
            double from = at;
            double to = at + RECOVERY_WINDOW_MILLISECONDS;
            List<Outcome> window =
                    outcomes.stream()
                            .filter(outcome -> outcome.request().arrival() >= from)
                            .filter(outcome -> outcome.request().arrival() < to)
                            .toList();
            if (inTime(window) < level) {
                last = at + RECOVERY_STEP_MILLISECONDS;
            }
        }
        return last - after;
    }
}
