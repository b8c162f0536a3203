package org.ibisstand.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.ibisstand.base.Verdict;
import org.ibisstand.routing.AgentView;
import org.ibisstand.routing.Offer;
import org.ibisstand.routing.QueueAction;
import org.ibisstand.routing.RequestProfile;
import org.ibisstand.routing.WorkItem;
import org.ibisstand.routing.WorkQueue;

/** An agent around the product's own queue and cache index, without sockets. */
final class AgentModel {
    /** What the entry is told about one attempt. */
    interface Listener {
        void onFirstToken();

        void onFinished(int cachedPieces);

        void onRefused(Verdict.NotRun verdict);
    }

    private record Attempt(WorkItem work, int tokens, Listener listener) {}

    private final Simulation mSimulation;
    private final AgentView mView;
    private final WorkQueue mQueue;
    private final Backend mBackend;
    private final boolean mGivesPriorities;
    private final Map<Long, Attempt> mAttempts = new HashMap<>();
    private double mNextPoll = Double.MAX_VALUE;

    AgentModel(
            Simulation simulation,
            AgentView view,
            WorkQueue queue,
            Backend backend,
            boolean givesPriorities) {
        mSimulation = simulation;
        mView = view;
        mQueue = queue;
        mBackend = backend;
        mGivesPriorities = givesPriorities;
    }

    AgentView view() {
        return mView;
    }

    Backend backend() {
        return mBackend;
    }

    int load() {
        return mQueue.waiting() + mQueue.running();
    }

    Offer offer(RequestProfile question) {
        return mQueue.offer(question);
    }

    void submit(WorkItem work, int tokens, Listener listener) {
        mAttempts.put(work.identifier(), new Attempt(work, tokens, listener));
        mQueue.submit(work);
        poll();
    }

    /** Ends an attempt whose caller or entry has no more use for it. */
    void cancel(long identifier) {
        if (mAttempts.remove(identifier) != null && !mQueue.cancel(identifier)) {
            mBackend.cancel(identifier);
            mQueue.finished(identifier, OptionalInt.empty());
        }
        poll();
    }

    private void poll() {
        for (QueueAction action : mQueue.poll()) {
            switch (action) {
                case QueueAction.Dispatch dispatch -> dispatch(dispatch);
                case QueueAction.Refuse refusal ->
                        mAttempts.remove(refusal.work()).listener().onRefused(refusal.verdict());
            }
        }
        mQueue.nextPoll().ifPresent(this::schedulePoll);
    }

    private void schedulePoll(Instant next) {
        double at = Duration.between(Instant.EPOCH, next).toNanos() / 1e6;
        if (at < mNextPoll) {
            mNextPoll = at;
            mSimulation.at(at, this::onPollTime);
        }
    }

    private void onPollTime() {
        mNextPoll = Double.MAX_VALUE;
        poll();
    }

    private void dispatch(QueueAction.Dispatch dispatch) {
        Attempt attempt = mAttempts.get(dispatch.work());
        int priority = mGivesPriorities ? dispatch.enginePriority() : 0;
        mBackend.submit(
                dispatch.work(),
                attempt.work().profile().chain(),
                priority,
                attempt.tokens(),
                listener(attempt));
    }

    private Backend.Listener listener(Attempt attempt) {
        long identifier = attempt.work().identifier();
        return new Backend.Listener() {
            @Override
            public void onFirstToken() {
                mQueue.firstTokenReceived(identifier);
                attempt.listener().onFirstToken();
                poll();
            }

            @Override
            public void onToken() {
                mQueue.tokenReceived(identifier);
            }

            @Override
            public void onFinished(int cachedPieces) {
                mAttempts.remove(identifier);
                boolean hasPrompt = attempt.work().profile().chain().promptBytes() > 0;
                mQueue.finished(
                        identifier, hasPrompt ? OptionalInt.of(cachedPieces) : OptionalInt.empty());
                attempt.listener().onFinished(cachedPieces);
                poll();
            }
        };
    }
}
