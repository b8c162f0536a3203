package org.ibisstand.measure;

import java.util.Locale;

/** A figure that is measured for every contender. */
enum Figure {
    HIT_RATE("prefix hit rate", "share", true),
    RECOMPUTED("pieces computed again, a run", "count", false),
    SHORT_P99("short work, 99th percentile to first token", "ms", false),
    LONG_SLOWDOWN_P99("long work, 99th percentile of slowdown", "times", false),
    CREST_SHORT_P99("at the crest: short work, 99th percentile", "ms", false),
    CREST_LONG_SLOWDOWN_P99("at the crest: long work, slowdown", "times", false),
    CREST_IN_TIME("at the crest: answers inside the deadline", "share", true),
    CREST_RECOVERY("back to the level before after the crest", "ms", false),
    SHORT_BESIDE_LONG("short work beside long over short alone", "times", false),
    SLOWED_SHORT("short work, one in six slowed over none", "times", false),
    SLOWED_LONG("long work, one in six slowed over none", "times", false),
    SLOWED_CALLS("service calls, one in three slowed over none", "times", false),
    SHIFT_RECOVERY("hot prefixes shift: back to 0.9 of the hits", "ms", false),
    RESTART_HIT_RATE("a third of entries restarted: hits over before", "times", true),
    RESTART_SHORT_P99("a third of entries restarted: short work over before", "times", false);

    private final String mLabel;
    private final String mUnit;
    private final boolean mMoreIsBetter;

    Figure(String label, String unit, boolean moreIsBetter) {
        mLabel = label;
        mUnit = unit;
        mMoreIsBetter = moreIsBetter;
    }

    String label() {
        return mLabel;
    }

    String unit() {
        return mUnit;
    }

    boolean isBetter(double value, double than) {
        return mMoreIsBetter ? value > than : value < than;
    }

    /** Returns a value in the figure's usual precision. */
    String format(double value) {
        return switch (mUnit) {
            case "ms", "count" -> String.format(Locale.ROOT, "%.0f", value);
            default -> String.format(Locale.ROOT, "%.3f", value);
        };
    }
}
