package org.ibisstand.control;

import java.time.Clock;
import java.time.Duration;
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

/**
 * Handles the frames of other processes; passes each frame to the control thread and handles it
 * there.
 */
final class ControlService implements FrameHandler {
    private final Executor mControlThread;
    private final ControlComponents mComponents;
    private final Clock mClock;

    private ControlService(Executor controlThread, ControlComponents components, Clock clock) {
        mControlThread = controlThread;
        mComponents = components;
        mClock = clock;
    }

    static ControlService create(
            Executor controlThread, ControlComponents components, Clock clock) {
        return new ControlService(controlThread, components, clock);
    }

    @Override
    public void received(WireConnection connection, Frame frame) {
        mControlThread.execute(() -> handle(connection, frame));
    }

    @Override
    public void closed(WireConnection connection) {
        mControlThread.execute(() -> removeConnection(connection));
    }

    private void removeConnection(WireConnection connection) {
        mComponents.watchers().closed(connection);
        mComponents.agentConnections().closed(connection);
        mComponents.fleet().closed(connection);
    }

    private void handle(WireConnection connection, Frame frame) {
        try {
            dispatch(connection, frame);
        } catch (RuntimeException e) {
            connection.send(frame.getCorrelation(), toFailureFrame(e));
        }
    }

    private void dispatch(WireConnection connection, Frame frame) {
        switch (frame.getBodyCase()) {
            case ANNOUNCE -> announce(connection, frame);
            case WATCH ->
                    mComponents
                            .watchers()
                            .watch(connection, frame.getCorrelation(), frame.getWatch());
            case CLAIM ->
                    sendReply(connection, frame, mComponents.claims().claim(frame.getClaim()));
            case RECORD_OUTCOME ->
                    sendReply(
                            connection,
                            frame,
                            mComponents.claims().record(frame.getRecordOutcome()));
            case CONSENSUS -> mComponents.log().received(connection, frame.getConsensus());
            case FLEET_WATCH ->
                    mComponents
                            .fleet()
                            .watch(connection, frame.getCorrelation(), frame.getFleetWatch());
            case MEMBER_NOTICE ->
                    mComponents.fleet().receiveMemberNotice(connection, frame.getMemberNotice());
            case SERVER_NOTICE -> mComponents.fleet().receiveServerNotice(frame.getServerNotice());
            case ENGINE_NOTICES ->
                    mComponents.fleet().receiveEngineNotices(frame.getEngineNotices());
            case JOIN_REQUEST -> mComponents.fleet().receiveJoinRequest(frame.getJoinRequest());
            case QUOTA_REQUEST ->
                    sendReply(
                            connection,
                            frame,
                            mComponents
                                    .quotas()
                                    .answer(frame.getQuotaRequest())
                                    .thenApply(Frame.newBuilder()::setQuotaResponse));
            default ->
                    throw new IbisstandException(
                            ErrorCode.FRAME_INVALID, "control does not handle frames of this type");
        }
    }

    private void announce(WireConnection connection, Frame frame) {
        Duration lease =
                mComponents.registry().announce(frame.getAnnounce().getAgent(), mClock.instant());
        mComponents.agentConnections().setConnection(connection, frame.getAnnounce().getAgent());
        if (!mComponents.log().status().leads()) {
            throw new IbisstandException(
                    ErrorCode.NOT_LEADER,
                    "the announcement is recorded, but this member does not lead");
        }
        AnnounceReply reply =
                AnnounceReply.newBuilder()
                        .setRevision(mComponents.state().revision())
                        .setLeaseMilliseconds(lease.toMillis())
                        .build();
        connection.send(frame.getCorrelation(), Frame.newBuilder().setAnnounceReply(reply));
    }

    private void sendReply(
            WireConnection connection, Frame frame, CompletableFuture<Frame.Builder> pendingReply) {
        pendingReply.whenComplete(
                (reply, failure) -> {
                    Frame.Builder frameToSend = failure == null ? reply : toFailureFrame(failure);
                    connection.send(frame.getCorrelation(), frameToSend);
                });
    }

    /**
     * Reports every failure as not run, since handling a claim or an outcome runs nothing by
     * itself; the sender may resend the frame to this or another member.
     */
    private Frame.Builder toFailureFrame(Throwable thrown) {
        boolean isWrapped = thrown instanceof CompletionException && thrown.getCause() != null;
        Throwable cause = isWrapped ? thrown.getCause() : thrown;
        if (!(cause instanceof IbisstandException failure)) {
            LogLine.error("request_failed").cause(cause).write();
            return Failures.frameOf(
                    new IbisstandException(
                            ErrorCode.INTERNAL, "control failed to handle the request"));
        }
        Frame.Builder frame = Failures.frameOf(failure);
        LogStatus status = mComponents.log().status();
        if (failure.code() == ErrorCode.NOT_LEADER && !status.leads()) {
            status.leaderAddress()
                    .ifPresent(address -> frame.getFailureBuilder().setLeaderAddress(address));
        }
        return frame;
    }
}
