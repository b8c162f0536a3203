package org.ibisstand.control;

import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.wire.Failures;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.AnnounceReply;
import org.ibisstand.wire.message.Frame;

/** Answers the other processes; everything but the receipt of frames is on the control thread. */
final class ControlService implements FrameHandler {
    private final Executor mControlThread;
    private final ControlParts mParts;
    private final Clock mClock;

    private ControlService(Executor controlThread, ControlParts parts, Clock clock) {
        mControlThread = controlThread;
        mParts = parts;
        mClock = clock;
    }

    static ControlService create(Executor controlThread, ControlParts parts, Clock clock) {
        return new ControlService(controlThread, parts, clock);
    }

    @Override
    public void received(WireConnection connection, Frame frame) {
        mControlThread.execute(() -> handle(connection, frame));
    }

    @Override
    public void closed(WireConnection connection) {
        mControlThread.execute(() -> forget(connection));
    }

    private void forget(WireConnection connection) {
        mParts.watchers().closed(connection);
        mParts.agentConnections().closed(connection);
        mParts.fleet().closed(connection);
    }

    private void handle(WireConnection connection, Frame frame) {
        try {
            dispatch(connection, frame);
        } catch (RuntimeException e) {
            connection.send(frame.getCorrelation(), failureOf(e));
        }
    }

    private void dispatch(WireConnection connection, Frame frame) {
        switch (frame.getBodyCase()) {
            case ANNOUNCE -> announce(connection, frame);
            case WATCH ->
                    mParts.watchers().watch(connection, frame.getCorrelation(), frame.getWatch());
            case CLAIM -> answer(connection, frame, mParts.claims().claim(frame.getClaim()));
            case RECORD_OUTCOME ->
                    answer(connection, frame, mParts.claims().record(frame.getRecordOutcome()));
            case CONSENSUS -> mParts.log().received(connection, frame.getConsensus());
            case FLEET_WATCH ->
                    mParts.fleet().watch(connection, frame.getCorrelation(), frame.getFleetWatch());
            case SERVER_NOTICE -> mParts.fleet().noticed(frame.getServerNotice());
            case ENGINE_NOTICES -> mParts.fleet().engines(frame.getEngineNotices());
            case JOIN_REQUEST -> mParts.fleet().joinRequested(frame.getJoinRequest());
            default ->
                    throw new IbisstandException(
                            ErrorCode.FRAME_INVALID, "control does not serve this message");
        }
    }

    private void announce(WireConnection connection, Frame frame) {
        Duration lease =
                mParts.registry().announce(frame.getAnnounce().getAgent(), mClock.instant());
        mParts.agentConnections().announced(connection, frame.getAnnounce().getAgent());
        if (!mParts.log().status().leads()) {
            throw new IbisstandException(
                    ErrorCode.NOT_LEADER, "noted, but watchers ask the leader for agents");
        }
        AnnounceReply reply =
                AnnounceReply.newBuilder()
                        .setRevision(mParts.state().revision())
                        .setLeaseMilliseconds(lease.toMillis())
                        .build();
        connection.send(frame.getCorrelation(), Frame.newBuilder().setAnnounceReply(reply));
    }

    private void answer(
            WireConnection connection, Frame frame, CompletableFuture<Frame.Builder> answer) {
        answer.whenComplete(
                (reply, failure) -> {
                    Frame.Builder sent = failure == null ? reply : failureOf(failure);
                    connection.send(frame.getCorrelation(), sent);
                });
    }

    /**
     * A failed claim or record ran nothing by itself, so every failure is reported as not run; the
     * sender may resend it to this or to another member.
     */
    private Frame.Builder failureOf(Throwable thrown) {
        boolean wrapped = thrown instanceof CompletionException && thrown.getCause() != null;
        Throwable cause = wrapped ? thrown.getCause() : thrown;
        if (!(cause instanceof IbisstandException failure)) {
            LogLine.error("request_failed").cause(cause).write();
            return Failures.frameOf(
                    new IbisstandException(ErrorCode.INTERNAL, "control failed on the request"));
        }
        Frame.Builder frame = Failures.frameOf(failure);
        Optional<String> leader = mParts.log().status().leaderAddress();
        if (failure.code() == ErrorCode.NOT_LEADER) {
            leader.ifPresent(address -> frame.getFailureBuilder().setLeaderAddress(address));
        }
        return frame;
    }
}
