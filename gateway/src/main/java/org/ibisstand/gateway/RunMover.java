package org.ibisstand.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Moves the run behind one stream to another engine, within the same response. Confined to the
 * gateway's event loop. A stopped run resumes from its KV cache or fails, unless the route allows
 * any engine to resume the stream.
 */
final class RunMover {
    /** The pause after a first move that failed, or found no target; doubled after each. */
    private static final long FIRST_PAUSE_MILLISECONDS = 50;

    private static final long MAXIMUM_PAUSE_MILLISECONDS = 800;

    /** Covers the response to a stop, and requests to two engines to resume the run. */
    private static final long LONGEST_MOVE_MILLISECONDS = 1_500;

    private final RequestForwarder mForwarder;
    private final GatewayContext mGateway;
    private final RequestLog mLog;
    private Optional<RunMove> mMove = Optional.empty();
    private Optional<RunResumption> mResumption = Optional.empty();
    private long mNextMoveAt;
    private long mPauseMilliseconds = FIRST_PAUSE_MILLISECONDS;
    private boolean mStayLogged;

    RunMover(RequestForwarder forwarder, GatewayContext gateway, RequestLog log) {
        mForwarder = forwarder;
        mGateway = gateway;
        mLog = log;
    }

    /** Returns whether the current attempt resumes a stopped run. */
    boolean isResuming() {
        return mResumption.isPresent();
    }

    /** Returns the location of the KV cache of the run that the current attempt resumes. */
    Optional<String> runSource() {
        return mResumption.map(RunResumption::runSource);
    }

    /** Makes the next attempt start a new run. */
    void clearResumption() {
        mResumption = Optional.empty();
    }

    void cancelMove() {
        mMove.ifPresent(RunMove::abandon);
        mMove = Optional.empty();
    }

    /**
     * Moves a run whose engine will soon stop serving, if another engine has memory for it. Called
     * again with each event, since engines that have no room now may have it later. A run that
     * resumes at the engine that stopped it does not move again.
     */
    void move(Attempt attempt) {
        boolean isResumedAtSource =
                mResumption
                        .filter(resumption -> resumption.stoppedEngine() == attempt.server())
                        .isPresent();
        if (!mForwarder.admitted().isForEngine()
                || mMove.isPresent()
                || mGateway.now() < mNextMoveAt
                || attempt.server().isPaused(mGateway.now())
                || isResumedAtSource
                || mGateway.stopsWithin(LONGEST_MOVE_MILLISECONDS)) {
            return;
        }
        boolean isMovable = mForwarder.admitted().canMoveRun() && isKvCacheInScope(attempt);
        Optional<ServerPlacement.Destination> destination =
                isMovable ? chooseTarget(attempt) : Optional.empty();
        if (destination.isEmpty()) {
            pauseMoves();
            logStay(attempt, isMovable);
            return;
        }
        RunMove move = new RunMove(this, mGateway, attempt, destination.get().server());
        mMove = Optional.of(move);
        move.start(mForwarder.request().identifier());
    }

    private Optional<ServerPlacement.Destination> chooseTarget(Attempt attempt) {
        return mGateway.promptPlacement()
                .chooseMoveTarget(
                        mForwarder.admitted().placementRequest(Set.of()),
                        attempt.server(),
                        attempt.scope());
    }

    private void pauseMoves() {
        mNextMoveAt = mGateway.now() + mPauseMilliseconds;
        mPauseMilliseconds = Math.min(2 * mPauseMilliseconds, MAXIMUM_PAUSE_MILLISECONDS);
    }

    private void logStay(Attempt attempt, boolean isMovable) {
        if (!mStayLogged) {
            mStayLogged = true;
            mLog.serverEvent("run_stays", attempt.server(), "movable", isMovable);
        }
    }

    /** Returns why a run whose KV cache was copied must not be stopped, if it must not. */
    Optional<String> obstacleToStop(Attempt attempt, BackendServer target) {
        if (!isKvCacheInScope(attempt)) {
            return Optional.of("memory_of_other_weights");
        }
        long observed = target.observedWeights(attempt.model().orElseThrow());
        boolean isTargetReady =
                target.acceptsRequests()
                        && !target.isLoading(mGateway.now())
                        && !target.isPaused(mGateway.now())
                        && observed == attempt.scope().weights();
        if (!isTargetReady) {
            return Optional.of("target leaves, loads or pauses");
        }
        return mGateway.stopsWithin(LONGEST_MOVE_MILLISECONDS)
                ? Optional.of("gateway stops")
                : Optional.empty();
    }

    /** Notes that the engine may have stopped the run, and did not say so. */
    void stopUnclear(Attempt attempt, String reason) {
        mLog.serverEvent("run_stop_unclear", attempt.server(), "reason", reason);
    }

    /** Resumes a stopped run from its KV cache, without another prefill. */
    void runStopped(Attempt attempt, BackendServer target, RunMove.StoppedRun stoppedRun) {
        BackendServer stoppedEngine = attempt.server();
        mPauseMilliseconds = FIRST_PAUSE_MILLISECONDS;
        mStayLogged = false;
        mMove = Optional.empty();
        attempt.cancel();
        mForwarder.runStopped(attempt);
        mLog.runMoved(attempt, target, stoppedRun.isCopied(), stoppedRun.isStreamComplete());
        if (!stoppedRun.isStreamComplete() || !isKvCacheInScope(attempt)) {
            mGateway.metrics().incrementCounter("runs_lost");
            restartOrFail("memory_of_other_weights");
            return;
        }
        mGateway.metrics().incrementCounter("runs_moved");
        String source = stoppedEngine.address() + "/";
        String runSource = source + stoppedRun.handle();
        List<RunResumption.Place> places = new ArrayList<>();
        places.add(new RunResumption.Place(stoppedEngine, runSource, 0));
        if (stoppedRun.isCopied()) {
            places.addFirst(new RunResumption.Place(target, runSource, 0));
        } else {
            stoppedRun
                    .earlierCopy()
                    .map(copy -> new RunResumption.Place(target, source + copy, 0))
                    .ifPresent(places::add);
        }
        mResumption = Optional.of(new RunResumption(stoppedEngine, attempt.scope(), places));
        resume("no_server");
    }

    /**
     * Returns whether the KV cache of a run is known to be computed only with the weights that its
     * request stated. Its engine may have loaded newer ones since, and continued the run with them.
     */
    private static boolean isKvCacheInScope(Attempt attempt) {
        long observed = attempt.server().observedWeights(attempt.model().orElseThrow());
        return attempt.scope().isShareable()
                && attempt.scope().weights() == observed
                && attempt.changedWeights().isEmpty();
    }

    /** Handles a run that was not stopped; its stream continues, or has ended on its own. */
    void moveFailed(Attempt attempt, BackendServer target, String reason) {
        mMove = Optional.empty();
        pauseMoves();
        target.recordRefusal(mGateway.now());
        mLog.serverEvent("run_not_moved", attempt.server(), "reason", target.name() + " " + reason);
        mGateway.metrics().incrementCounter("runs_not_moved");
    }

    /**
     * Handles the end of a stream, complete or not. Its handler runs at once, unless a move is in
     * progress, which may have caused the end.
     */
    void streamEnded(StreamEnd end) {
        mMove.ifPresentOrElse(move -> move.streamEnded(end), end.handler());
    }

    /**
     * Handles a rejected request to resume a run: it goes to the other engine that has the run's KV
     * cache, or to the same one later.
     *
     * @param server the engine that rejected it
     * @param reason why, as it is logged
     * @param isMomentary whether the engine may accept the run later
     */
    void resumeRejected(BackendServer server, String reason, boolean isMomentary) {
        if (isMomentary) {
            long now = mGateway.now();
            mResumption.orElseThrow().refusedUntil(now + server.pauseMilliseconds(now));
        }
        resume(reason);
    }

    private void resume(String reason) {
        RunResumption resumption = mResumption.orElseThrow();
        Optional<RunResumption.Retry> retry = resumption.next(mGateway.now());
        if (retry.isEmpty()) {
            restartOrFail(reason);
            return;
        }
        ServerPlacement.Destination destination =
                new ServerPlacement.Destination(
                        retry.get().place().server(),
                        Optional.empty(),
                        Optional.empty(),
                        resumption.scope(),
                        0);
        if (retry.get().pauseMilliseconds() == 0) {
            mForwarder.sendTo(destination);
        } else {
            mGateway.schedule(
                    "resume_run",
                    () -> mForwarder.sendTo(destination),
                    retry.get().pauseMilliseconds());
        }
    }

    private void restartOrFail(String reason) {
        mResumption = Optional.empty();
        if (mForwarder.isRetryable()) {
            mForwarder.retryOrFail(reason);
        } else {
            mForwarder.fail(reason);
        }
    }
}
