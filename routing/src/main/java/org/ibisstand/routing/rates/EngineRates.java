package org.ibisstand.routing.rates;

import java.time.Clock;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Estimates the prefill rate of the engines of one service, and how much slower or faster than that
 * each engine is. For loads whose prompts and engines differ from what a fixed rate assumes, and
 * for engines whose speed varies. Not thread-safe.
 */
public final class EngineRates {
    /** In force until enough prompts were observed; typical of current accelerators. */
    public static final double INITIAL_TOKENS_PER_MILLISECOND = 90;

    /** The time of shorter prompts consists mostly of network and scheduling delays. */
    public static final int MINIMUM_TOKENS = 1_000;

    /** Fewer prompts may all have met the same slow engine, or a stall of the gateway. */
    private static final int MINIMUM_OBSERVATIONS = 8;

    /** Some seconds of requests of a busy gateway. */
    private static final int RECENT_OBSERVATIONS = 64;

    /**
     * Queues of other gateways and stalls only lower the rate of an observation. A quantile nearer
     * to the maximum would follow the fastest of engines that differ.
     */
    private static final double UPPER_QUANTILE = 0.75;

    /** The weight of one observation in the factor of an engine: about the last four count. */
    private static final double FACTOR_SMOOTHING = 0.25;

    private static final double FACTOR_HALF_LIFE_MILLISECONDS = 5_000;
    private static final double MINIMUM_FACTOR = 0.25;
    private static final double MAXIMUM_FACTOR = 4;
    private static final double USUAL_FACTOR = 1;

    private final Clock mClock;
    private final double[] mRecentRates = new double[RECENT_OBSERVATIONS];
    private final Map<String, ObservedFactor> mFactors = new HashMap<>();
    private long mObservations;
    private double mTokensPerMillisecond = INITIAL_TOKENS_PER_MILLISECOND;

    /**
     * Creates the estimate of a service without observations.
     *
     * @param clock tells the age of observations
     */
    public EngineRates(Clock clock) {
        mClock = clock;
    }

    /** The factor of an engine at its last observation. */
    private record ObservedFactor(double factor, long atMilliseconds) {
        /** Returns the part of the factor that is still relevant: halved with each half-life. */
        double retainedShare(long now) {
            return Math.pow(0.5, (now - atMilliseconds) / FACTOR_HALF_LIFE_MILLISECONDS);
        }
    }

    /**
     * Records a prompt that an engine computed.
     *
     * @return whether the prompt was long enough to count
     */
    public boolean record(Prefill prefill) {
        if (prefill.tokens() < MINIMUM_TOKENS) {
            return false;
        }
        mRecentRates[(int) (mObservations % RECENT_OBSERVATIONS)] = prefill.tokensPerMillisecond();
        mObservations++;
        if (isRateKnown()) {
            mTokensPerMillisecond = upperQuantile();
            updateFactor(prefill);
        }
        return true;
    }

    /** Returns the tokens that a typical engine of the service computes in a millisecond. */
    public double tokensPerMillisecond() {
        return mTokensPerMillisecond;
    }

    /**
     * Returns how long an engine takes relative to the rate of the service. Without observations
     * the factor returns to 1, so that an engine that was slow is tried again.
     */
    public double factor(String engine) {
        ObservedFactor observed = mFactors.get(engine);
        if (observed == null) {
            return USUAL_FACTOR;
        }
        double share = observed.retainedShare(mClock.millis());
        return USUAL_FACTOR + (observed.factor() - USUAL_FACTOR) * share;
    }

    /** Drops what is known of all engines that are not in the set. */
    public void retainEngines(Set<String> engines) {
        mFactors.keySet().retainAll(engines);
    }

    /** Returns how many engines are remembered. */
    int engineCount() {
        return mFactors.size();
    }

    /** Factors relative to the initial rate would be wrong as soon as the rate is known. */
    private boolean isRateKnown() {
        return mObservations >= MINIMUM_OBSERVATIONS;
    }

    private double upperQuantile() {
        int count = (int) Math.min(mObservations, RECENT_OBSERVATIONS);
        double[] sorted = Arrays.copyOf(mRecentRates, count);
        Arrays.sort(sorted);
        return sorted[(int) (UPPER_QUANTILE * (count - 1))];
    }

    /**
     * Weighs the new observation more the older the previous one is. Decaying the factor to 1
     * before the update instead would keep it too low at engines with few requests.
     */
    private void updateFactor(Prefill prefill) {
        long now = mClock.millis();
        double observed =
                Math.clamp(
                        prefill.timeFactor(mTokensPerMillisecond), MINIMUM_FACTOR, MAXIMUM_FACTOR);
        ObservedFactor previous =
                mFactors.getOrDefault(prefill.engine(), new ObservedFactor(USUAL_FACTOR, now));
        double previousWeight = (1 - FACTOR_SMOOTHING) * previous.retainedShare(now);
        double factor = previous.factor() * previousWeight + observed * (1 - previousWeight);
        mFactors.put(prefill.engine(), new ObservedFactor(factor, now));
    }
}
