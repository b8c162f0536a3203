package org.ibisstand.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Moves one run from an engine that will soon stop serving to another one, within the same response
 * to the caller. Confined to the gateway's event loop.
 *
 * <p>This covers weight loads during long streams. An engine that waits for its longest response
 * before the load serves no requests for seconds, and a response that continues with other weights
 * or after the load is worthless or late. A copy takes a few milliseconds.
 *
 * <p>A first call copies the KV cache while the run continues, and reserves a place at the target.
 * Only then does a second call stop the run, and copy the rest. The stream then ends without its
 * last event and the engine responds to the second call, in either order; the run resumes once both
 * are known. If the response is lost, the run resumes from the first copy.
 */
final class RunMove {
    /** Covers twenty round trips between availability zones and the copies queued on two links. */
    private static final long RESPONSE_TIMEOUT_MILLISECONDS = 600;

    /** The run continues meanwhile, and its engine refuses another call. */
    private static final long COPY_TIMEOUT_MILLISECONDS = 2_000;

    /** Less than the 5 s for which engines keep the KV cache of a stopped run. */
    private static final long HANDLE_LIFETIME_MILLISECONDS = 4_000;

    private final RunMover mMover;
    private final GatewayContext mGateway;
    private final Attempt mAttempt;
    private final BackendServer mTarget;
    private Phase mPhase = Phase.COPYING;
    private Optional<String> mCopy = Optional.empty();
    private Optional<RunMoveProtocol.Reply> mStopReply = Optional.empty();
    private Optional<StreamEnd> mStreamEnd = Optional.empty();

    RunMove(RunMover mover, GatewayContext gateway, Attempt attempt, BackendServer target) {
        mMover = mover;
        mGateway = gateway;
        mAttempt = attempt;
        mTarget = target;
    }

    private enum Phase {
        COPYING,
        STOPPING,
        DONE
    }

    /**
     * What is known of a run that has stopped.
     *
     * @param handle the identifier of its KV cache
     * @param isCopied whether the target has a whole copy
     * @param earlierCopy the identifier of the copy that the target had before the stop
     * @param isStreamComplete whether all events from before the stop arrived; a missing one may
     *     state that the weights changed
     */
    record StoppedRun(
            String handle,
            boolean isCopied,
            Optional<String> earlierCopy,
            boolean isStreamComplete) {}

    void start(String requestIdentifier) {
        FullHttpRequest copyRequest =
                mGateway.runMoveProtocol().copyRequest(requestIdentifier, targetAddress());
        call(copyRequest, reply -> copyAnswered(reply, requestIdentifier));
        schedule(this::copyTimedOut, COPY_TIMEOUT_MILLISECONDS);
    }

    /** Handles the end of the stream, which may be the effect of this move. */
    void streamEnded(StreamEnd end) {
        if (mPhase != Phase.STOPPING) {
            abandon();
            end.handler().run();
            return;
        }
        mStreamEnd = Optional.of(end);
        if (mStopReply.isPresent()) {
            complete(mStopReply.get());
        } else {
            schedule(
                    () -> complete(new RunMoveProtocol.Unclear("no response")),
                    RESPONSE_TIMEOUT_MILLISECONDS);
        }
    }

    /** Gives up the move without notifying the mover; copies that exist are freed. */
    void abandon() {
        if (mPhase != Phase.DONE) {
            mPhase = Phase.DONE;
            mCopy.ifPresent(this::release);
        }
    }

    private void copyAnswered(RunMoveProtocol.Reply reply, String requestIdentifier) {
        if (mPhase == Phase.DONE) {
            releaseIfStored(reply);
            return;
        }
        switch (reply) {
            case RunMoveProtocol.Stored stored when stored.isCopied() -> {
                mCopy = Optional.of(stored.handle());
                mMover.obstacleToStop(mAttempt, mTarget)
                        .ifPresentOrElse(this::fail, () -> stop(requestIdentifier));
            }
            case RunMoveProtocol.Stored stored -> {
                mCopy = Optional.of(stored.handle());
                fail("not copied");
            }
            case RunMoveProtocol.Refused refused -> fail(refused.reason());
            case RunMoveProtocol.RunUnknown unknown -> fail("run unknown");
            case RunMoveProtocol.Unclear unclear -> fail(unclear.reason());
        }
    }

    private void copyTimedOut() {
        if (mPhase == Phase.COPYING) {
            fail("response timed out");
        }
    }

    private void stop(String requestIdentifier) {
        mPhase = Phase.STOPPING;
        mAttempt.stopRequested();
        FullHttpRequest stopRequest =
                mGateway.runMoveProtocol().stopRequest(requestIdentifier, targetAddress());
        call(stopRequest, this::stopAnswered);
        schedule(this::handleExpired, HANDLE_LIFETIME_MILLISECONDS);
    }

    private void stopAnswered(RunMoveProtocol.Reply reply) {
        if (mPhase == Phase.DONE) {
            // A run that resumes from its first copy may still need the memory of this one.
            return;
        }
        mStopReply = Optional.of(reply);
        if (mStreamEnd.isPresent()) {
            complete(reply);
        } else if (reply instanceof RunMoveProtocol.Refused refused) {
            mAttempt.stopRefused();
            fail(refused.reason());
        } else if (reply instanceof RunMoveProtocol.Unclear unclear) {
            mMover.stopUnclear(mAttempt, unclear.reason());
        }
    }

    /** Completes the move once the stream has ended and no more is expected of the stop. */
    private void complete(RunMoveProtocol.Reply reply) {
        if (mPhase == Phase.DONE) {
            return;
        }
        StreamEnd end = mStreamEnd.orElseThrow();
        switch (reply) {
            case RunMoveProtocol.Stored stored -> resume(stored, true);
            case RunMoveProtocol.Refused refused -> {
                mAttempt.stopRefused();
                endOnItsOwn(end, refused.reason());
            }
            case RunMoveProtocol.RunUnknown unknown -> {
                mAttempt.stopRefused();
                if (end.kind() == StreamEnd.Kind.BROKEN) {
                    resumeFromCopy();
                } else {
                    endOnItsOwn(end, "run unknown");
                }
            }
            case RunMoveProtocol.Unclear unclear -> {
                if (end.kind() == StreamEnd.Kind.DELIMITED) {
                    endOnItsOwn(end, unclear.reason());
                } else {
                    resumeFromCopy();
                }
            }
        }
    }

    private void resumeFromCopy() {
        resume(new RunMoveProtocol.Stored(mCopy.orElseThrow(), true), true);
    }

    private void resume(RunMoveProtocol.Stored stored, boolean isStreamComplete) {
        mPhase = Phase.DONE;
        mMover.runStopped(
                mAttempt,
                mTarget,
                new StoppedRun(stored.handle(), stored.isCopied(), mCopy, isStreamComplete));
    }

    /** Handles a stream that ended in the middle of the move, yet not by it. */
    private void endOnItsOwn(StreamEnd end, String reason) {
        fail(reason);
        end.handler().run();
    }

    /** Gives up a stopped run whose stream has not ended; what follows it would come too late. */
    private void handleExpired() {
        if (mPhase != Phase.STOPPING) {
            return;
        }
        if (mStopReply.orElse(null) instanceof RunMoveProtocol.Stored stored) {
            resume(stored, false);
        }
    }

    private void fail(String reason) {
        abandon();
        mMover.moveFailed(mAttempt, mTarget, reason);
    }

    private void releaseIfStored(RunMoveProtocol.Reply reply) {
        if (reply instanceof RunMoveProtocol.Stored stored) {
            release(stored.handle());
        }
    }

    /** Frees a copy; if that fails, the engines free it after a while. */
    private void release(String handle) {
        mGateway.metrics().incrementCounter("run_copies_freed");
        call(mGateway.runMoveProtocol().releaseRequest(handle), reply -> {});
    }

    private void call(FullHttpRequest request, Consumer<RunMoveProtocol.Reply> listener) {
        RunMoveCall.send(mGateway, mAttempt.server(), request, listener);
    }

    private void schedule(Runnable task, long milliseconds) {
        mGateway.schedule("move_run", task, milliseconds);
    }

    private String targetAddress() {
        return mTarget.address().toString();
    }
}
