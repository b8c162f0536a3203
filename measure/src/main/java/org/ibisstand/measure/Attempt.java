package org.ibisstand.measure;

import java.time.Duration;
import java.util.Optional;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.Verdict;
import org.ibisstand.routing.Offer;
import org.ibisstand.routing.TrackedOperation;
import org.ibisstand.routing.WorkItem;

/** One attempt of a request at one agent, as the entry sees it over the network. */
final class Attempt implements AgentModel.Listener {
    private final RoutedRequest mRequest;
    private final AgentModel mAgent;
    private final Optional<Offer> mOffer;
    private final boolean mHedge;
    private final Simulation mSimulation;
    private final double mSent;
    private final double mLatency;
    private final long mIdentifier;
    private final TrackedOperation mObservation;
    private boolean mObserved;

    Attempt(RoutedRequest request, AgentModel agent, Optional<Offer> offer, boolean hedge) {
        mRequest = request;
        mAgent = agent;
        mOffer = offer;
        mHedge = hedge;
        mSimulation = request.entry().simulation();
        mSent = mSimulation.now();
        mLatency = request.entry().latency(agent.view());
        mIdentifier = request.entry().counters().nextAttempt();
        mObservation =
                request.state()
                        .observations()
                        .started(agentName(), expected(), mSimulation.instant());
    }

    AgentIdentifier agentName() {
        return mAgent.view().agent();
    }

    boolean isHedge() {
        return mHedge;
    }

    void send() {
        mRequest.state().loads().started(agentName());
        WorkItem work = new WorkItem(mIdentifier, mRequest.question());
        int tokens = mRequest.outcome().request().tokens();
        mSimulation.after(mLatency, () -> mAgent.submit(work, tokens, this));
    }

    /** Withdraws the attempt; nothing more is heard of it. */
    void cancel() {
        mRequest.state().loads().finished(agentName());
        abandon();
        mSimulation.after(mLatency, () -> mAgent.cancel(mIdentifier));
    }

    @Override
    public void onFirstToken() {
        mSimulation.after(mLatency, this::firstTokenArrived);
    }

    @Override
    public void onFinished(int cachedPieces) {
        int load = mAgent.load();
        mSimulation.after(
                mLatency,
                () -> {
                    mRequest.state().loads().finished(agentName());
                    mRequest.state()
                            .loads()
                            .queueReported(agentName(), load, mSimulation.instant());
                    mRequest.onFinished(cachedPieces);
                });
    }

    @Override
    public void onRefused(Verdict.NotRun verdict) {
        mSimulation.after(
                mLatency,
                () -> {
                    mRequest.state().loads().finished(agentName());
                    abandon();
                    mRequest.onRefused(this, verdict);
                });
    }

    private void firstTokenArrived() {
        if (!mRequest.outcome().request().kind().isModel()) {
            mRequest.state().onCall(mSimulation.now() - mSent);
        }
        mObserved = true;
        mRequest.state().observations().completed(mObservation, mSimulation.instant());
        mRequest.onFirstToken(this);
    }

    private void abandon() {
        if (!mObserved) {
            mObserved = true;
            mRequest.state().observations().cancelled(mObservation, mSimulation.instant());
        }
    }

    private Duration expected() {
        return mOffer.map(
                        offer -> EntryModel.duration(offer.firstTokenMilliseconds() + 2 * mLatency))
                .orElseGet(() -> mRequest.state().typicalCall());
    }
}
