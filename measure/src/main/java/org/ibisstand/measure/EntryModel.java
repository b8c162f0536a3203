package org.ibisstand.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.PrefixChain;
import org.ibisstand.base.Verdict;
import org.ibisstand.routing.AgentGroup;
import org.ibisstand.routing.AgentLoads;
import org.ibisstand.routing.AgentView;
import org.ibisstand.routing.Offer;
import org.ibisstand.routing.Placement;
import org.ibisstand.routing.PlacementPolicy;
import org.ibisstand.routing.PlacementRequest;
import org.ibisstand.routing.PlacementRound;
import org.ibisstand.routing.PlacementStep;
import org.ibisstand.routing.Question;
import org.ibisstand.routing.RecentPlacements;
import org.ibisstand.routing.ServerObservations;
import org.ibisstand.routing.Work;

/** An entry around the product's own placement, without sockets. */
final class EntryModel implements Router {
    private static final Duration HOLD = Duration.ofMillis(10);
    private static final double SAME_ZONE_MILLISECONDS = 0.15;
    private static final int HINT_BITS = 14;
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final Simulation mSimulation;
    private final Cluster mCluster;
    private final PlacementPolicy mPolicy;
    private final String mZone;
    private final double mCrossZoneMilliseconds;
    private final SplittableRandom mRandom;
    private final RunCounters mCounters;
    private AgentLoads mLoads;
    private ServerObservations mObservations;
    private Placement mPlacement;
    private double mTypicalCall = 100;

    EntryModel(
            Simulation simulation,
            Cluster cluster,
            PlacementPolicy policy,
            String zone,
            double crossZoneMilliseconds,
            SplittableRandom random,
            RunCounters counters) {
        mSimulation = simulation;
        mCluster = cluster;
        mPolicy = policy;
        mZone = zone;
        mCrossZoneMilliseconds = crossZoneMilliseconds;
        mRandom = random;
        mCounters = counters;
        restart();
    }

    /** Loses all state, as a new process would start. */
    void restart() {
        mLoads = AgentLoads.create();
        mObservations = ServerObservations.create();
        RecentPlacements recent = RecentPlacements.ofBits(HINT_BITS);
        mPlacement = Placement.create(mPolicy, mLoads, recent, mObservations, mRandom.split());
    }

    @Override
    public void handle(Outcome outcome) {
        Attempts attempts = new Attempts(outcome);
        mSimulation.after(Outcome.PATIENCE_MILLISECONDS, attempts::onPatienceOver);
        attempts.begin();
    }

    private double latency(AgentView agent) {
        return agent.zone().equals(mZone) ? SAME_ZONE_MILLISECONDS : mCrossZoneMilliseconds;
    }

    private static Duration duration(double milliseconds) {
        return Duration.ofNanos((long) (milliseconds * NANOSECONDS_PER_MILLISECOND));
    }

    /** All attempts of one request. */
    private final class Attempts {
        private final Outcome mOutcome;
        private final Question mQuestion;
        private final Set<AgentIdentifier> mExcluded = new HashSet<>();
        private Optional<PlacementRound> mRound = Optional.empty();
        private Optional<Attempt> mCurrent = Optional.empty();
        private int mCount;
        private boolean mOver;

        Attempts(Outcome outcome) {
            mOutcome = outcome;
            Request request = outcome.request();
            Instant deadline = Instant.EPOCH.plus(duration(request.arrival() + request.deadline()));
            mQuestion =
                    new Question(request.team(), request.kind().rank(), request.chain(), deadline);
        }

        void begin() {
            mCount++;
            PrefixChain chain = mQuestion.chain();
            boolean isModel = mOutcome.request().kind().isModel();
            AgentGroup group =
                    isModel
                            ? mCluster.fleet().ofModel(Cluster.MODEL, Cluster.WEIGHTS_VERSION)
                            : mCluster.fleet().ofService(Cluster.SERVICE);
            PlacementRequest request =
                    new PlacementRequest(
                            group, isModel ? Optional.of(chain) : Optional.empty(), mExcluded);
            Placement.Start start = mPlacement.begin(request, mSimulation.instant());
            mRound = start.round();
            perform(start.step());
        }

        private void perform(PlacementStep step) {
            switch (step) {
                case PlacementStep.Ask ask -> ask(ask);
                case PlacementStep.Wait wait -> {}
                case PlacementStep.Send send -> send(send.choice().agent(), send.choice().offer());
                case PlacementStep.Refuse refuse -> refused();
            }
        }

        private void ask(PlacementStep.Ask ask) {
            PlacementRound round = mRound.orElseThrow();
            for (AgentView view : ask.agents()) {
                AgentModel agent = mCluster.agent(view.agent());
                mCounters.countOffer();
                mSimulation.after(latency(view), () -> answer(agent, round));
            }
            mSimulation.after(
                    ask.patience().toNanos() / NANOSECONDS_PER_MILLISECOND,
                    () -> perform(round.onPatienceOver(mSimulation.instant())));
        }

        private void answer(AgentModel agent, PlacementRound round) {
            Offer offer = agent.offer(mQuestion, HOLD);
            AgentView view = agent.view();
            mSimulation.after(
                    latency(view),
                    () ->
                            perform(
                                    round.onOffer(
                                            view.agent(),
                                            view.boot(),
                                            offer,
                                            mSimulation.instant())));
        }

        private void send(AgentView view, Optional<Offer> offer) {
            if (mOver) {
                return;
            }
            Attempt attempt = new Attempt(this, mCluster.agent(view.agent()), offer);
            mCurrent = Optional.of(attempt);
            attempt.send();
        }

        void onRefused(Attempt attempt) {
            mExcluded.add(attempt.agent().view().agent());
            boolean inTime =
                    mSimulation.now() - mOutcome.request().arrival()
                            < mOutcome.request().deadline();
            if (mCount < MAXIMUM_ATTEMPTS && inTime && !mOver) {
                begin();
            } else {
                refused();
            }
        }

        private void refused() {
            mOver = true;
            mOutcome.onRefused();
        }

        void onPatienceOver() {
            if (!mOver && !mOutcome.answered()) {
                mOver = true;
                mCurrent.ifPresent(Attempt::cancel);
            }
        }
    }

    /** One attempt at one agent. */
    private final class Attempt implements AgentModel.Listener {
        private final Attempts mAttempts;
        private final AgentModel mAgent;
        private final Optional<Offer> mOffer;
        private final double mSent = mSimulation.now();
        private final double mLatency;
        private final AgentLoads mCountedIn = mLoads;
        private final long mIdentifier = mCounters.nextAttempt();

        Attempt(Attempts attempts, AgentModel agent, Optional<Offer> offer) {
            mAttempts = attempts;
            mAgent = agent;
            mOffer = offer;
            mLatency = latency(agent.view());
        }

        AgentModel agent() {
            return mAgent;
        }

        void send() {
            mCountedIn.started(mAgent.view().agent());
            long hold = mOffer.map(Offer::hold).orElse(0L);
            Work work = new Work(mIdentifier, mAttempts.mQuestion, hold);
            int tokens = mAttempts.mOutcome.request().tokens();
            mSimulation.after(mLatency, () -> mAgent.submit(work, tokens, this));
        }

        void cancel() {
            mCountedIn.finished(mAgent.view().agent());
            mSimulation.after(mLatency, () -> mAgent.cancel(mIdentifier));
        }

        @Override
        public void onFirstToken() {
            mSimulation.after(mLatency, this::firstTokenArrived);
        }

        private void firstTokenArrived() {
            double now = mSimulation.now();
            double took = now - mSent;
            boolean isCall = !mAttempts.mOutcome.request().kind().isModel();
            double expected =
                    mOffer.map(offer -> offer.firstTokenMilliseconds() + 2 * mLatency)
                            .orElse(isCall ? mTypicalCall : took);
            mTypicalCall = isCall ? mTypicalCall + 0.02 * (took - mTypicalCall) : mTypicalCall;
            mObservations.observed(
                    mAgent.view().agent(),
                    duration(Math.max(1, expected)),
                    duration(took),
                    mSimulation.instant());
            if (!mAttempts.mOver) {
                mAttempts.mOutcome.onFirstToken(now);
            }
        }

        @Override
        public void onFinished(int cachedPieces) {
            int load = mAgent.load();
            mSimulation.after(
                    mLatency,
                    () -> {
                        mCountedIn.finished(mAgent.view().agent());
                        mLoads.reported(mAgent.view().agent(), load, mSimulation.instant());
                        mAttempts.mOver = true;
                        mAttempts.mOutcome.onFinished(cachedPieces);
                    });
        }

        @Override
        public void onRefused(Verdict.NotRun verdict) {
            mSimulation.after(
                    mLatency,
                    () -> {
                        mCountedIn.finished(mAgent.view().agent());
                        mAttempts.onRefused(this);
                    });
        }
    }
}
