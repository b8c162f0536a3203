package org.ibisstand.gateway;

import java.util.Optional;

/**
 * The run behind one stream, which may go on at another engine inside the same answer; for the
 * traffic thread only. A run that was stopped goes on from its memory or not at all, unless its
 * stream may be resumed by any engine.
 */
final class RunContinuation {
    /** Other engines that are asked to take a run over; one refuses if it has no room. */
    private static final int MAXIMUM_REFUSED_MOVES = 3;

    private final Forwarding mForwarding;
    private final Gateway mGateway;
    private final RequestLog mLog;
    private Optional<RunMove> mMove = Optional.empty();
    private Optional<Continuation> mContinuation = Optional.empty();
    private int mRefusedMoves;

    RunContinuation(Forwarding forwarding, Gateway gateway, RequestLog log) {
        mForwarding = forwarding;
        mGateway = gateway;
        mLog = log;
    }

    /**
     * A run that was stopped and goes on.
     *
     * @param runSource what the request says of the run's memory
     * @param stoppedAt the engine that stopped it and keeps its memory for a while
     * @param scope of the KV cache that the memory was made from
     */
    private record Continuation(String runSource, BackendServer stoppedAt, CacheScope scope) {}

    /** Returns whether the present attempt goes on with a run that was stopped. */
    boolean goesOn() {
        return mContinuation.isPresent();
    }

    /** Returns what a request says of the memory of the run that it goes on with. */
    Optional<String> source() {
        return mContinuation.map(Continuation::runSource);
    }

    /** The next attempt starts a run of its own. */
    void startsAnew() {
        mContinuation = Optional.empty();
    }

    void cancelMove() {
        mMove.ifPresent(RunMove::cancel);
        mMove = Optional.empty();
    }

    /** The engine will serve nobody soon: the run goes on elsewhere, if an engine has room. */
    void move(Attempt attempt) {
        boolean cameBack =
                mContinuation.filter(one -> one.stoppedAt() == attempt.server()).isPresent();
        if (!mForwarding.admitted().isForEngine()
                || mMove.isPresent()
                || mRefusedMoves == MAXIMUM_REFUSED_MOVES
                || cameBack) {
            return;
        }
        boolean isMovable = mForwarding.admitted().isMovable() && isMemoryOfScope(attempt);
        Optional<Placement.Place> refuge =
                isMovable
                        ? mGateway.promptPlacement()
                                .refuge(
                                        mForwarding.admitted().task(mForwarding.tried()),
                                        attempt.server(),
                                        attempt.scope())
                        : Optional.empty();
        if (refuge.isEmpty()) {
            mRefusedMoves = MAXIMUM_REFUSED_MOVES;
            mLog.server("run_stays", attempt.server(), "movable", isMovable);
            return;
        }
        RunMove move = new RunMove(this, mGateway, attempt, refuge.get().server());
        mMove = Optional.of(move);
        move.start(mForwarding.request().identifier());
    }

    /**
     * The run stopped: it goes on from its memory, without being read again.
     *
     * @param isWhole whether all events came that were made before the stop; one that is missing
     *     may tell of other weights
     */
    void moved(
            Attempt attempt,
            BackendServer target,
            RunMoveProtocol.StoppedRun stopped,
            boolean isWhole) {
        BackendServer from = attempt.server();
        mRefusedMoves = 0;
        mMove = Optional.empty();
        attempt.cancel();
        mForwarding.runStopped(attempt);
        mLog.stopped(attempt, target, stopped.isCopied(), isWhole);
        if (!isWhole || !isMemoryOfScope(attempt)) {
            mGateway.metrics().counted("runs_lost");
            startAnewOrGiveUp("memory_of_other_weights");
            return;
        }
        mGateway.metrics().counted("runs_moved");
        String source = from.address() + "/" + stopped.handle();
        mContinuation = Optional.of(new Continuation(source, from, attempt.scope()));
        mForwarding.sendTo(place(stopped.isCopied() ? target : from));
    }

    /**
     * Returns whether the memory of a run is known to be made under the weights that its request
     * named, and no others: its engine may have loaded newer ones since, and let the run go on.
     */
    private static boolean isMemoryOfScope(Attempt attempt) {
        long observed = attempt.server().observedWeights(attempt.model().orElseThrow());
        return attempt.scope().isShared()
                && attempt.scope().weights() == observed
                && attempt.changedWeights().isEmpty();
    }

    /** The run was not stopped: its stream goes on, or has ended by itself. */
    void notMoved(
            Attempt attempt, BackendServer target, String reason, Optional<Runnable> streamEnd) {
        mMove = Optional.empty();
        mRefusedMoves++;
        mForwarding.tried().add(target);
        target.refused(mGateway.now());
        mLog.server("run_not_moved", attempt.server(), "reason", target.name() + " " + reason);
        mGateway.metrics().counted("runs_not_moved");
        streamEnd.ifPresent(Runnable::run);
    }

    /** A stream ended or broke off; what that means may depend on a move that was asked for. */
    void streamEnded(Runnable meaning) {
        mMove.ifPresentOrElse(move -> move.streamEnded(meaning), meaning);
    }

    /** Where a copy cannot be used the engine that stopped the run may go on with it, once. */
    void refused(Attempt attempt, String reason) {
        BackendServer stoppedAt = mContinuation.get().stoppedAt();
        if (attempt.server() != stoppedAt) {
            mForwarding.sendTo(place(stoppedAt));
        } else {
            startAnewOrGiveUp(reason);
        }
    }

    private void startAnewOrGiveUp(String reason) {
        mContinuation = Optional.empty();
        if (mForwarding.isRepeatable()) {
            mForwarding.repeatOrGiveUp(reason);
        } else {
            mForwarding.giveUp(reason);
        }
    }

    private Placement.Place place(BackendServer server) {
        CacheScope scope = mContinuation.get().scope();
        return new Placement.Place(server, Optional.empty(), Optional.empty(), scope, 0);
    }
}
