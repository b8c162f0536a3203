package org.ibisstand.measure;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoublePredicate;
import java.util.function.Predicate;

/** Computes all figures of one contender from its runs of every scenario. */
final class Figures {
    private static final double TAIL = 0.99;
    private static final double RECOVERY_LIMIT_MILLISECONDS = 15_000;
    private static final double RECOVERED_SHARE = 0.98;
    private static final double SHIFT_WINDOW_MILLISECONDS = 1_000;
    private static final double SHIFT_STEP_MILLISECONDS = 250;
    private static final double SHIFT_RECOVERED_SHARE = 0.9;
    private static final Predicate<Request.Kind> SHORT = kind -> kind == Request.Kind.SHORT;
    private static final Predicate<Request.Kind> LONG = kind -> kind == Request.Kind.LONG;
    private static final Predicate<Request.Kind> CALLS = kind -> !kind.isModel();
    private static final DoublePredicate ALWAYS = time -> true;

    private final Map<Scenario, RunResult> mResults;

    private Figures(Map<Scenario, RunResult> results) {
        mResults = results;
    }

    /** Returns the figures over all runs together. */
    static Map<Figure, Double> of(Map<Scenario, RunResult> results) {
        Figures figures = new Figures(results);
        Map<Figure, Double> values = new EnumMap<>(Figure.class);
        for (Figure figure : Figure.values()) {
            values.put(figure, figures.value(figure));
        }
        return values;
    }

    private double value(Figure figure) {
        return switch (figure) {
            case HIT_RATE -> hitRate(Scenario.steady());
            case RECOMPUTED -> steady().recomputedPieces() / (double) steady().runs();
            case SHORT_P99 -> tail(Scenario.steady(), SHORT, ALWAYS);
            case LONG_SLOWDOWN_P99 -> slowdown(Scenario.steady(), ALWAYS);
            case CREST_SHORT_P99 -> tail(Scenario.crested(), SHORT, Scenario::inCrest);
            case CREST_LONG_SLOWDOWN_P99 -> slowdown(Scenario.crested(), Scenario::inCrest);
            case CREST_IN_TIME -> inTime(Scenario::inCrest);
            case CREST_RECOVERY -> recovery();
            case SHORT_BESIDE_LONG -> ratio(SHORT, Scenario.steady(), Scenario.shortAlone());
            case SLOWED_SHORT -> ratio(SHORT, Scenario.slowedServers(), Scenario.steady());
            case SLOWED_LONG ->
                    slowdown(Scenario.slowedServers(), ALWAYS)
                            / slowdown(Scenario.steady(), ALWAYS);
            case SLOWED_CALLS -> ratio(CALLS, Scenario.slowedServers(), Scenario.steady());
            case SHIFT_RECOVERY -> shiftRecovery();
            case RESTART_HIT_RATE ->
                    hitRate(Scenario.restarted(), Figures::afterEvent)
                            / hitRate(Scenario.steady(), Figures::afterEvent);
            case RESTART_SHORT_P99 ->
                    tail(Scenario.restarted(), SHORT, Figures::afterEvent)
                            / tail(Scenario.steady(), SHORT, Figures::afterEvent);
        };
    }

    private RunResult steady() {
        return mResults.get(Scenario.steady());
    }

    private static boolean afterEvent(double time) {
        return time >= Scenario.EVENT_MILLISECONDS
                && time < Scenario.EVENT_MILLISECONDS + RECOVERY_LIMIT_MILLISECONDS;
    }

    private double hitRate(Scenario scenario) {
        return hitRate(scenario, ALWAYS);
    }

    private double hitRate(Scenario scenario, DoublePredicate when) {
        return Statistics.hitRate(mResults.get(scenario).select(Request.Kind::isModel, when));
    }

    private double tail(Scenario scenario, Predicate<Request.Kind> kinds, DoublePredicate when) {
        List<Outcome> outcomes = mResults.get(scenario).select(kinds, when);
        return Statistics.percentile(TAIL, outcomes, Outcome::firstToken);
    }

    private double slowdown(Scenario scenario, DoublePredicate when) {
        List<Outcome> outcomes = mResults.get(scenario).select(LONG, when);
        return Statistics.percentile(TAIL, outcomes, Statistics::slowdown);
    }

    private double ratio(Predicate<Request.Kind> kinds, Scenario scenario, Scenario base) {
        return tail(scenario, kinds, ALWAYS) / tail(base, kinds, ALWAYS);
    }

    private double inTime(DoublePredicate when) {
        return Statistics.inTime(
                mResults.get(Scenario.crested()).select(Request.Kind::isModel, when));
    }

    private double recovery() {
        List<Outcome> outcomes =
                mResults.get(Scenario.crested()).select(Request.Kind::isModel, ALWAYS);
        double level = RECOVERED_SHARE * inTime(Scenario::isCalm);
        double sum = 0;
        for (int crest = 0; crest < Scenario.CRESTS; crest++) {
            double end = Scenario.crestStart(crest) + Scenario.CREST_MILLISECONDS;
            sum += Statistics.recovery(outcomes, end, end + RECOVERY_LIMIT_MILLISECONDS, level);
        }
        return sum / Scenario.CRESTS;
    }

    /** Returns when a window's hit rate is first back after the shift, from its begin. */
    private double shiftRecovery() {
        double level =
                SHIFT_RECOVERED_SHARE
                        * hitRate(Scenario.shifted(), time -> time < Scenario.EVENT_MILLISECONDS);
        double after = 0;
        while (after < RECOVERY_LIMIT_MILLISECONDS) {
            double from = Scenario.EVENT_MILLISECONDS + after;
            double to = from + SHIFT_WINDOW_MILLISECONDS;
            if (hitRate(Scenario.shifted(), time -> time >= from && time < to) >= level) {
                return after;
            }
            after += SHIFT_STEP_MILLISECONDS;
        }
        return RECOVERY_LIMIT_MILLISECONDS;
    }
}
