package org.ibisstand.measure;

import java.util.List;
import java.util.function.DoublePredicate;
import java.util.function.Predicate;

/**
 * What was observed in one run.
 *
 * @param outcomes every request, in the order of arrival
 * @param computedPieces the pieces that engines computed after they were warm
 * @param recomputedPieces those of them that some engine had computed before
 * @param offers the offers that entries asked for
 * @param attempts the attempts that entries sent
 * @param runs how many runs were observed
 */
record RunResult(
        List<Outcome> outcomes,
        long computedPieces,
        long recomputedPieces,
        long offers,
        long attempts,
        int runs) {
    /** Returns the observations of several runs together. */
    static RunResult merge(List<RunResult> results) {
        return new RunResult(
                results.stream().flatMap(result -> result.outcomes().stream()).toList(),
                results.stream().mapToLong(RunResult::computedPieces).sum(),
                results.stream().mapToLong(RunResult::recomputedPieces).sum(),
                results.stream().mapToLong(RunResult::offers).sum(),
                results.stream().mapToLong(RunResult::attempts).sum(),
                results.size());
    }

    /** Returns the requests of some kinds that arrived in a part of the time after warming. */
    List<Outcome> select(Predicate<Request.Kind> kinds, DoublePredicate when) {
        return outcomes.stream()
                .filter(outcome -> outcome.request().arrival() >= Scenario.WARM_MILLISECONDS)
                .filter(outcome -> when.test(outcome.request().arrival()))
                .filter(outcome -> kinds.test(outcome.request().kind()))
                .toList();
    }
}
