package org.ibisstand.measure;

import java.util.List;
import java.util.random.RandomGenerator;
import org.ibisstand.routing.CacheIndex;

/** Carries an engine's cache events to the agent's index: late, with losses and with long gaps. */
final class CacheEvents {
    /**
     * How unreliable the stream is.
     *
     * @param delayMilliseconds the mean delay; events stay in order
     * @param lossShare the share of single events that are lost
     * @param gapsPerSecond how often the stream breaks
     * @param gapMilliseconds how long nothing arrives then
     */
    record Faults(
            double delayMilliseconds,
            double lossShare,
            double gapsPerSecond,
            double gapMilliseconds) {
        static Faults none() {
            return new Faults(0, 0, 0, 0);
        }

        static Faults usual() {
            return new Faults(100, 0.01, 0.05, 500);
        }
    }

    private final Simulation mSimulation;
    private final CacheIndex mIndex;
    private final Faults mFaults;
    private final RandomGenerator mRandom;
    private long mSequence;
    private double mLastArrival;
    private double mLastEvent;
    private double mGapEnds;

    CacheEvents(Simulation simulation, CacheIndex index, Faults faults, RandomGenerator random) {
        mSimulation = simulation;
        mIndex = index;
        mFaults = faults;
        mRandom = random;
    }

    void stored(long hash) {
        long sequence = mSequence++;
        deliver(() -> mIndex.stored(sequence, hash));
    }

    void removed(List<Long> hashes) {
        long sequence = mSequence++;
        long[] values = hashes.stream().mapToLong(Long::longValue).toArray();
        deliver(() -> mIndex.removed(sequence, values));
    }

    private void deliver(Runnable event) {
        double now = mSimulation.now();
        double chance = mFaults.gapsPerSecond() * Math.min(1000, now - mLastEvent) / 1000;
        mLastEvent = now;
        if (mRandom.nextDouble() < chance) {
            mGapEnds = now + mFaults.gapMilliseconds();
        }
        if (now < mGapEnds || mRandom.nextDouble() < mFaults.lossShare()) {
            return;
        }
        if (mFaults.delayMilliseconds() == 0) {
            event.run();
            return;
        }
        double delay = mFaults.delayMilliseconds() * (0.5 + mRandom.nextDouble());
        mLastArrival = Math.max(mLastArrival, now + delay);
        mSimulation.at(mLastArrival, event);
    }
}
