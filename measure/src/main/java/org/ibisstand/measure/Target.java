package org.ibisstand.measure;

import java.util.List;

/**
 * A bound on one figure of the product.
 *
 * @param figure what is bounded
 * @param factor the bound, or the factor on what it is measured against
 * @param against what the factor is on
 */
record Target(Figure figure, double factor, Against against) {
    /** What a target is measured against. */
    enum Against {
        NOTHING,
        BEST_NAIVE,
        BEST_CLAIRVOYANT
    }

    /** Returns all targets. */
    static List<Target> all() {
        return List.of(
                new Target(Figure.HIT_RATE, 0.95, Against.BEST_CLAIRVOYANT),
                new Target(Figure.RECOMPUTED, 1.15, Against.BEST_CLAIRVOYANT),
                new Target(Figure.SHORT_P99, 1.25, Against.BEST_CLAIRVOYANT),
                new Target(Figure.LONG_SLOWDOWN_P99, 1.25, Against.BEST_CLAIRVOYANT),
                new Target(Figure.CREST_SHORT_P99, 0.5, Against.BEST_NAIVE),
                new Target(Figure.CREST_SHORT_P99, 1.25, Against.BEST_CLAIRVOYANT),
                new Target(Figure.CREST_LONG_SLOWDOWN_P99, 1.25, Against.BEST_CLAIRVOYANT),
                new Target(Figure.CREST_IN_TIME, 1.3, Against.BEST_NAIVE),
                new Target(Figure.CREST_RECOVERY, 2000, Against.NOTHING),
                new Target(Figure.SHORT_BESIDE_LONG, 1.2, Against.NOTHING),
                new Target(Figure.SLOWED_SHORT, 1.3, Against.NOTHING),
                new Target(Figure.SLOWED_LONG, 1.3, Against.NOTHING),
                new Target(Figure.SLOWED_CALLS, 1.3, Against.NOTHING),
                new Target(Figure.SHIFT_RECOVERY, 3000, Against.NOTHING),
                new Target(Figure.RESTART_HIT_RATE, 0.98, Against.NOTHING),
                new Target(Figure.RESTART_SHORT_P99, 1.1, Against.NOTHING));
    }

    /** Returns the bound for given yardsticks. */
    double bound(double bestNaive, double bestClairvoyant) {
        return switch (against) {
            case NOTHING -> factor;
            case BEST_NAIVE -> factor * bestNaive;
            case BEST_CLAIRVOYANT -> factor * bestClairvoyant;
        };
    }

    /** Returns whether a value keeps the bound. */
    boolean isMet(double value, double bound) {
        return value == bound || figure.isBetter(value, bound);
    }

    String text() {
        return switch (against) {
            case NOTHING -> figure.format(factor);
            case BEST_NAIVE -> factor + " of the best naive";
            case BEST_CLAIRVOYANT -> factor + " of the clairvoyant";
        };
    }
}
