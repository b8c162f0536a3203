package org.ibisstand.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The figures of one contender on one workload.
 *
 * @param contender what was measured
 * @param together the figures over all seeds together
 * @param bySeed the figures of each seed
 * @param offersPerRequest the offers that entries asked for, for each request
 */
record Measurement(
        Contender contender,
        Map<Figure, Double> together,
        List<Map<Figure, Double>> bySeed,
        double offersPerRequest) {
    /** Runs a contender through every scenario with every seed. */
    static Measurement of(Contender contender, Workload workload, int seeds, double load) {
        Map<Scenario, List<RunResult>> results = new HashMap<>();
        List<Map<Figure, Double>> bySeed = new ArrayList<>();
        for (long seed = 1; seed <= seeds; seed++) {
            Map<Scenario, RunResult> ofSeed = new HashMap<>();
            for (Scenario scenario : Scenario.all()) {
                RunResult result = Run.run(contender, workload, scenario, seed, load);
                ofSeed.put(scenario, result);
                results.computeIfAbsent(scenario, unused -> new ArrayList<>()).add(result);
            }
            bySeed.add(Figures.of(ofSeed));
        }
        Map<Scenario, RunResult> merged = new HashMap<>();
        results.forEach((scenario, list) -> merged.put(scenario, RunResult.merge(list)));
        RunResult steady = merged.get(Scenario.steady());
        long modelRequests =
                steady.outcomes().stream()
                        .filter(outcome -> outcome.request().kind().isModel())
                        .count();
        return new Measurement(
                contender,
                Figures.of(merged),
                bySeed,
                (double) steady.offers() / Math.max(1, modelRequests));
    }

    double value(Figure figure) {
        return together.get(figure);
    }

    /** Returns the value over all seeds with the least and the most of a single seed. */
    String format(Figure figure) {
        double least = bySeed.stream().mapToDouble(values -> values.get(figure)).min().orElse(0);
        double most = bySeed.stream().mapToDouble(values -> values.get(figure)).max().orElse(0);
        return figure.format(value(figure))
                + " ("
                + figure.format(least)
                + "-"
                + figure.format(most)
                + ")";
    }
}
