package org.ibisstand.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ibisstand.routing.PlacementPolicy;

/** One contender on one seeded load. */
final class Run {
    private static final int ENTRIES = 3;
    private static final double DRAIN_MILLISECONDS = 40_000;
    private static final double SLOWNESS = 5;
    private static final double SLOW_MOMENT_MILLISECONDS = 2_000;
    private static final double SLOW_PAUSE_MILLISECONDS = 1_000;

    private final Simulation mSimulation = new Simulation();
    private final Contender mContender;
    private final Workload mWorkload;
    private final Scenario mScenario;
    private final SplittableRandom mRandom;
    private final Cluster mCluster;
    private final RunCounters mCounters = new RunCounters();
    private final List<EntryModel> mEntries = new ArrayList<>();
    private final List<Router> mRouters = new ArrayList<>();
    private final List<Outcome> mOutcomes = new ArrayList<>();
    private long mComputedWhileWarming;
    private long mRecomputedWhileWarming;

    private Run(Contender contender, Workload workload, Scenario scenario, long seed) {
        mContender = contender;
        mWorkload = workload;
        mScenario = scenario;
        mRandom = new SplittableRandom(seed * 7919 + 17);
        mCluster = Cluster.create(mSimulation, contender, mRandom.split());
    }

    /** Runs a contender through a scenario and returns what was observed. */
    static RunResult run(
            Contender contender, Workload workload, Scenario scenario, long seed, double load) {
        return new Run(contender, workload, scenario, seed).run(seed, load);
    }

    private RunResult run(long seed, double load) {
        createRouters();
        SplittableRandom balancer = mRandom.split();
        for (Request request : Traffic.generate(mWorkload, mScenario, seed, load)) {
            Outcome outcome = new Outcome(request);
            mOutcomes.add(outcome);
            Router router = mRouters.get(balancer.nextInt(mRouters.size()));
            mSimulation.at(request.arrival(), () -> router.handle(outcome));
        }
        if (mScenario.slowed()) {
            slowMoments(mRandom.split(), mCluster.engineAgents());
            slowMoments(mRandom.split(), mCluster.serviceAgents());
        }
        if (mScenario.restarts() && !mEntries.isEmpty()) {
            mSimulation.at(Scenario.EVENT_MILLISECONDS, mEntries.getFirst()::restart);
        }
        mSimulation.at(Scenario.WARM_MILLISECONDS, this::onWarm);
        mSimulation.runUntil(Scenario.END_MILLISECONDS + DRAIN_MILLISECONDS);
        return new RunResult(
                mOutcomes,
                computed() - mComputedWhileWarming,
                recomputed() - mRecomputedWhileWarming,
                mCounters.offers(),
                mCounters.attempts(),
                1);
    }

    private void createRouters() {
        switch (mContender) {
            case Contender.Clairvoyant clairvoyant ->
                    mRouters.add(
                            new ClairvoyantRouter(
                                    mSimulation, mCluster, clairvoyant.recomputeWeight()));
            case Contender.Product product -> createEntries(product.placement(), product.hedges());
            case Contender.Naive naive -> createEntries(naive.placement(), false);
        }
    }

    private void createEntries(PlacementPolicy policy, boolean hedges) {
        for (int entry = 0; entry < ENTRIES; entry++) {
            mEntries.add(
                    new EntryModel(
                            mSimulation,
                            mCluster,
                            policy,
                            hedges,
                            Cluster.zone(entry),
                            mWorkload.crossZoneMilliseconds(),
                            mRandom.split(),
                            mCounters));
        }
        mRouters.addAll(mEntries);
    }

    /** Slows one random server at a time for a moment, again and again. */
    private void slowMoments(SplittableRandom random, List<AgentModel> agents) {
        AgentModel slowed = agents.get(random.nextInt(agents.size()));
        slowed.backend().slowDown(SLOWNESS);
        mSimulation.after(
                SLOW_MOMENT_MILLISECONDS * (0.5 + random.nextDouble()),
                () -> {
                    slowed.backend().slowDown(1);
                    double pause = SLOW_PAUSE_MILLISECONDS * random.nextDouble();
                    if (mSimulation.now() < Scenario.END_MILLISECONDS) {
                        mSimulation.after(pause, () -> slowMoments(random, agents));
                    }
                });
    }

    private void onWarm() {
        mComputedWhileWarming = computed();
        mRecomputedWhileWarming = recomputed();
    }

    private long computed() {
        return mCluster.engines().stream().mapToLong(EngineModel::computedPieces).sum();
    }

    private long recomputed() {
        return mCluster.engines().stream().mapToLong(EngineModel::recomputedPieces).sum();
    }
}
