package org.ibisstand.measure;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;

/** Prints the measurements of one workload as tables in Markdown, or gives them as plain data. */
final class Report {
    private final Workload mWorkload;
    private final List<Measurement> mMeasurements;

    Report(Workload workload, List<Measurement> measurements) {
        mWorkload = workload;
        mMeasurements = measurements;
    }

    Workload workload() {
        return mWorkload;
    }

    List<Measurement> measurements() {
        return mMeasurements;
    }

    void print(PrintStream output) {
        printFigures(output);
        printRatios(output);
        if (hasYardsticks()) {
            printTargets(output);
        }
        output.printf(
                Locale.ROOT,
                "%nOffers asked for each model request: %.2f%n%n",
                mMeasurements.getFirst().offersPerRequest());
    }

    /** Returns the same as nested maps, for JSON. */
    Map<String, Object> data() {
        Map<String, Object> contenders = new LinkedHashMap<>();
        for (Measurement measurement : mMeasurements) {
            contenders.put(measurement.contender().name(), values(measurement));
        }
        Map<String, Object> targets = new LinkedHashMap<>();
        if (hasYardsticks()) {
            for (Target target : Target.all()) {
                targets.put(key(target), isMet(target) ? "met" : "missed");
            }
        }
        Map<String, Object> data = new LinkedHashMap<>();
        data.put("workload", mWorkload.name());
        data.put("contenders", contenders);
        data.put("targets", targets);
        return data;
    }

    private static Map<String, Object> values(Measurement measurement) {
        Map<String, Object> values = new LinkedHashMap<>();
        for (Figure figure : Figure.values()) {
            Map<String, Object> value = new LinkedHashMap<>();
            value.put("value", measurement.value(figure));
            value.put(
                    "by_seed",
                    measurement.bySeed().stream().map(seed -> seed.get(figure)).toList());
            values.put(figure.name().toLowerCase(Locale.ROOT), value);
        }
        return values;
    }

    private static String key(Target target) {
        return (target.figure().name() + "_against_" + target.against()).toLowerCase(Locale.ROOT);
    }

    private void printFigures(PrintStream output) {
        output.printf("### %s%n%n", mWorkload.name());
        output.print("| figure | unit |");
        mMeasurements.forEach(each -> output.printf(" %s |", each.contender().name()));
        output.printf("%n| --- | --- |%s%n", " --- |".repeat(mMeasurements.size()));
        for (Figure figure : Figure.values()) {
            output.printf("| %s | %s |", figure.label(), figure.unit());
            mMeasurements.forEach(each -> output.printf(" %s |", each.format(figure)));
            output.println();
        }
        output.println();
    }

    private void printRatios(PrintStream output) {
        Measurement product = mMeasurements.getFirst();
        output.printf("%s over each other:%n%n| figure |", product.contender().name());
        List<Measurement> others = mMeasurements.subList(1, mMeasurements.size());
        others.forEach(each -> output.printf(" %s |", each.contender().name()));
        output.printf("%n| --- |%s%n", " --- |".repeat(others.size()));
        for (Figure figure : Figure.values()) {
            output.printf("| %s |", figure.label());
            for (Measurement other : others) {
                double ratio = product.value(figure) / other.value(figure);
                output.printf(Locale.ROOT, " %.2f |", ratio);
            }
            output.println();
        }
        output.println();
    }

    private void printTargets(PrintStream output) {
        output.println("| target | bound | ibisstand | best clairvoyant | result |");
        output.println("| --- | --- | --- | --- | --- |");
        for (Target target : Target.all()) {
            Figure figure = target.figure();
            output.printf(
                    "| %s | %s = %s | %s | %s | %s |%n",
                    figure.label(),
                    target.text(),
                    figure.format(bound(target)),
                    figure.format(mMeasurements.getFirst().value(figure)),
                    figure.format(best(figure, Contender.Clairvoyant.class::isInstance)),
                    isMet(target) ? "met" : "missed");
        }
    }

    private boolean isMet(Target target) {
        return target.isMet(mMeasurements.getFirst().value(target.figure()), bound(target));
    }

    private double bound(Target target) {
        return target.bound(
                best(target.figure(), Contender.Naive.class::isInstance),
                best(target.figure(), Contender.Clairvoyant.class::isInstance));
    }

    private boolean hasYardsticks() {
        return mMeasurements.stream()
                .anyMatch(each -> each.contender() instanceof Contender.Clairvoyant);
    }

    private double best(Figure figure, Predicate<Contender> which) {
        return mMeasurements.stream()
                .filter(each -> which.test(each.contender()))
                .map(each -> each.value(figure))
                .reduce((left, right) -> figure.isBetter(left, right) ? left : right)
                .orElseThrow();
    }
}
