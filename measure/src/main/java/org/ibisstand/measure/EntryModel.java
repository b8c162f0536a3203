package org.ibisstand.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ibisstand.base.PrefixChain;
import org.ibisstand.routing.AgentGroup;
import org.ibisstand.routing.AgentLoads;
import org.ibisstand.routing.AgentView;
import org.ibisstand.routing.Hedging;
import org.ibisstand.routing.Placement;
import org.ibisstand.routing.PlacementPolicy;
import org.ibisstand.routing.RecentPlacements;
import org.ibisstand.routing.RetryBudget;
import org.ibisstand.routing.RetryPolicy;
import org.ibisstand.routing.SlownessTracker;

/** An entry around the product's own placement, retries and hedging, without sockets. */
final class EntryModel implements Router {
    private static final double SAME_ZONE_MILLISECONDS = 0.15;
    private static final double CALL_GAIN = 0.02;
    private static final int HINT_BITS = 14;
    private static final double RETRY_SHARE = 0.1;
    private static final double RETRIES_PER_SECOND = 1;
    private static final double MAXIMUM_RETRIES_SAVED = 20;

    private final Simulation mSimulation;
    private final Cluster mCluster;
    private final PlacementPolicy mPolicy;
    private final boolean mHedges;
    private final String mZone;
    private final double mCrossZoneMilliseconds;
    private final SplittableRandom mRandom;
    private final RunCounters mCounters;
    private State mState;

    /** What an entry knows; a restart loses it. */
    static final class State {
        private final AgentLoads mLoads = AgentLoads.create();
        private final SlownessTracker mObservations = SlownessTracker.create();
        private final Placement mPlacement;
        private final RetryPolicy mRetries;
        private final Hedging mHedging;
        private double mTypicalCall = 100;

        private State(PlacementPolicy policy, SplittableRandom random, Instant now) {
            RecentPlacements recent = RecentPlacements.ofBits(HINT_BITS);
            mPlacement = Placement.create(policy, mLoads, recent, mObservations, random.split());
            RetryBudget budget =
                    RetryBudget.create(RETRY_SHARE, RETRIES_PER_SECOND, MAXIMUM_RETRIES_SAVED, now);
            mRetries = RetryPolicy.create(budget, random.split());
            mHedging = Hedging.standard(now);
        }

        AgentLoads loads() {
            return mLoads;
        }

        SlownessTracker observations() {
            return mObservations;
        }

        Placement placement() {
            return mPlacement;
        }

        RetryPolicy retries() {
            return mRetries;
        }

        Hedging hedging() {
            return mHedging;
        }

        /** Returns how long a call to a plain service usually takes. */
        Duration typicalCall() {
            return duration(mTypicalCall);
        }

        void onCall(double milliseconds) {
            mTypicalCall += CALL_GAIN * (milliseconds - mTypicalCall);
        }
    }

    EntryModel(
            Simulation simulation,
            Cluster cluster,
            PlacementPolicy policy,
            boolean hedges,
            String zone,
            double crossZoneMilliseconds,
            SplittableRandom random,
            RunCounters counters) {
        mSimulation = simulation;
        mCluster = cluster;
        mPolicy = policy;
        mHedges = hedges;
        mZone = zone;
        mCrossZoneMilliseconds = crossZoneMilliseconds;
        mRandom = random;
        mCounters = counters;
        restart();
    }

    /** Loses all state, as a new process would start. */
    void restart() {
        mState = new State(mPolicy, mRandom, mSimulation.instant());
    }

    @Override
    public void handle(Outcome outcome) {
        RoutedRequest request = new RoutedRequest(this, outcome);
        mSimulation.after(Outcome.PATIENCE_MILLISECONDS, request::onPatienceOver);
        request.begin();
    }

    Simulation simulation() {
        return mSimulation;
    }

    Cluster cluster() {
        return mCluster;
    }

    RunCounters counters() {
        return mCounters;
    }

    State state() {
        return mState;
    }

    boolean hedges() {
        return mHedges;
    }

    double latency(AgentView agent) {
        return agent.zone().equals(mZone) ? SAME_ZONE_MILLISECONDS : mCrossZoneMilliseconds;
    }

    AgentGroup group(Request request) {
        return request.kind().isModel()
                ? mCluster.fleet().agentsForModel(Cluster.MODEL, Cluster.WEIGHTS_VERSION)
                : mCluster.fleet().agentsForService(Cluster.SERVICE);
    }

    static Optional<PrefixChain> chain(Request request) {
        return request.kind().isModel() ? Optional.of(request.chain()) : Optional.empty();
    }

    static Duration duration(double milliseconds) {
        return Duration.ofNanos((long) (milliseconds * 1e6));
    }
}
