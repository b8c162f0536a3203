package org.ibisstand.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.Verdict;
import org.ibisstand.routing.AgentView;
import org.ibisstand.routing.Deadline;
import org.ibisstand.routing.Hedging;
import org.ibisstand.routing.Offer;
import org.ibisstand.routing.Placement;
import org.ibisstand.routing.PlacementRequest;
import org.ibisstand.routing.PlacementRound;
import org.ibisstand.routing.PlacementStep;
import org.ibisstand.routing.RequestProfile;

/** All attempts of one request at one entry: placement, retries after refusals, and a hedge. */
final class RoutedRequest {
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final EntryModel mEntry;
    private final EntryModel.State mState;
    private final Simulation mSimulation;
    private final Outcome mOutcome;
    private final RequestProfile mQuestion;
    private final Set<AgentIdentifier> mExcluded = new HashSet<>();
    private final List<Attempt> mRunning = new ArrayList<>();
    private int mCount;
    private boolean mHedged;
    private boolean mOver;

    RoutedRequest(EntryModel entry, Outcome outcome) {
        mEntry = entry;
        mState = entry.state();
        mSimulation = entry.simulation();
        mOutcome = outcome;
        Request request = outcome.request();
        Instant deadline =
                Instant.EPOCH.plus(EntryModel.duration(request.arrival() + request.deadline()));
        mQuestion =
                new RequestProfile(
                        request.team(), request.kind().rank(), request.chain(), deadline);
    }

    EntryModel entry() {
        return mEntry;
    }

    EntryModel.State state() {
        return mState;
    }

    Outcome outcome() {
        return mOutcome;
    }

    RequestProfile question() {
        return mQuestion;
    }

    boolean isOver() {
        return mOver;
    }

    void begin() {
        PlacementRequest request =
                new PlacementRequest(
                        mEntry.group(mOutcome.request()),
                        EntryModel.chain(mOutcome.request()),
                        mExcluded);
        Placement.Start start = mState.placement().begin(request, mSimulation.instant());
        perform(start.firstStep(), start.round());
    }

    private void perform(PlacementStep step, Optional<PlacementRound> round) {
        switch (step) {
            case PlacementStep.RequestOffers ask -> ask(ask, round.orElseThrow());
            case PlacementStep.Wait wait -> {}
            case PlacementStep.Send send -> send(send.choice().agent(), send.choice().offer());
            case PlacementStep.Refuse refuse -> giveUp();
        }
    }

    private void ask(PlacementStep.RequestOffers ask, PlacementRound round) {
        for (AgentView view : ask.agents()) {
            AgentModel agent = mEntry.cluster().agent(view.agent());
            mEntry.counters().countOffer();
            mSimulation.after(mEntry.latency(view), () -> answer(agent, round));
        }
        mSimulation.after(
                ask.offerTimeout().toNanos() / NANOSECONDS_PER_MILLISECOND,
                () -> perform(round.onOfferTimeout(mSimulation.instant()), Optional.of(round)));
    }

    private void answer(AgentModel agent, PlacementRound round) {
        Offer offer = agent.offer(mQuestion);
        AgentView view = agent.view();
        mSimulation.after(
                mEntry.latency(view),
                () ->
                        perform(
                                round.onOffer(
                                        view.agent(), view.boot(), offer, mSimulation.instant()),
                                Optional.of(round)));
    }

    private void send(AgentView view, Optional<Offer> offer) {
        if (mOver) {
            return;
        }
        mCount++;
        Attempt attempt = new Attempt(this, mEntry.cluster().agent(view.agent()), offer, mHedged);
        mRunning.add(attempt);
        attempt.send();
        if (mEntry.hedges() && !mHedged) {
            Request.Kind kind = mOutcome.request().kind();
            mState.hedging()
                    .delay(kind.isIdempotent(), !kind.isModel(), mSimulation.instant())
                    .ifPresent(
                            delay ->
                                    mSimulation.after(
                                            delay.toNanos() / NANOSECONDS_PER_MILLISECOND,
                                            () -> hedge(attempt)));
        }
    }

    private void hedge(Attempt late) {
        Hedging hedging = mState.hedging();
        boolean stillLate = !mOver && !mOutcome.answered() && mRunning.contains(late);
        if (stillLate && !mHedged && hedging.tryAcquire(mSimulation.instant())) {
            mHedged = true;
            mExcluded.add(late.agentName());
            begin();
        }
    }

    void onFirstToken(Attempt winner) {
        if (mOver || mOutcome.answered()) {
            return;
        }
        mOutcome.onFirstToken(mSimulation.now());
        Request.Kind kind = mOutcome.request().kind();
        if (winner.isHedge()) {
            mState.hedging().recordWin();
        }
        if (kind.isIdempotent() && !kind.isModel()) {
            mState.hedging()
                    .recordLatency(
                            EntryModel.duration(mOutcome.firstToken()), mSimulation.instant());
        }
        for (Attempt attempt : List.copyOf(mRunning)) {
            if (attempt != winner) {
                mRunning.remove(attempt);
                attempt.cancel();
            }
        }
    }

    void onFinished(int cachedPieces) {
        mOver = true;
        mOutcome.onFinished(cachedPieces);
    }

    void onRefused(Attempt attempt, Verdict.NotRun verdict) {
        mRunning.remove(attempt);
        mExcluded.add(attempt.agentName());
        if (mOver || !mRunning.isEmpty()) {
            return;
        }
        int agents = mEntry.group(mOutcome.request()).size();
        int untried = Math.max(0, agents - mExcluded.size());
        if (untried == 0) {
            mExcluded.clear();
        }
        Optional<Duration> backoff =
                mState.retries()
                        .backoff(
                                verdict,
                                mOutcome.request().kind().isIdempotent(),
                                mCount,
                                untried,
                                new Deadline(mQuestion.deadline()),
                                mSimulation.instant());
        backoff.ifPresentOrElse(
                wait ->
                        mSimulation.after(
                                wait.toNanos() / NANOSECONDS_PER_MILLISECOND, this::begin),
                this::giveUp);
    }

    private void giveUp() {
        if (mRunning.isEmpty()) {
            mOver = true;
            mOutcome.onRefused();
        }
    }

    void onPatienceOver() {
        if (!mOver && !mOutcome.answered()) {
            mOver = true;
            mRunning.forEach(Attempt::cancel);
        }
    }
}
