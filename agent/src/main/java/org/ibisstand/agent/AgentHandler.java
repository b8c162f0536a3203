package org.ibisstand.agent;

import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.PrefixChain;
import org.ibisstand.base.Verdict;
import org.ibisstand.routing.RequestProfile;
import org.ibisstand.wire.Failures;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.OutboundStream;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.EngineOrder;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.OfferRequest;
import org.ibisstand.wire.message.Resume;
import org.ibisstand.wire.message.Submit;
import org.ibisstand.wire.message.Tombstone;
import org.ibisstand.wire.message.TombstoneReply;

/** Handles messages of entries and control; state changes run on the control thread. */
final class AgentHandler implements FrameHandler {
    private final BootIdentifier mBoot;
    private final Clock mClock;
    private final ScheduledExecutorService mControlThread;
    private final RequestExecutor mExecutor;
    private final OutboundStreams mStreams;
    private final FencedOrderExecutor mOrders;

    AgentHandler(
            AgentRuntime runtime,
            RequestExecutor executor,
            OutboundStreams streams,
            FencedOrderExecutor orders) {
        mBoot = runtime.boot();
        mClock = runtime.clock();
        mControlThread = runtime.controlThread();
        mExecutor = executor;
        mStreams = streams;
        mOrders = orders;
    }

    @Override
    public void received(WireConnection connection, Frame frame) {
        long correlation = frame.getCorrelation();
        switch (frame.getBodyCase()) {
            case OFFER_REQUEST ->
                    runOnControlThread(
                            () -> offer(connection, correlation, frame.getOfferRequest()));
            case SUBMIT -> submit(connection, correlation, frame.getSubmit());
            case ACKNOWLEDGE ->
                    acknowledge(connection, correlation, frame.getAcknowledge().getNextSequence());
            case CANCEL -> cancel(connection, correlation);
            case RESUME -> resume(connection, correlation, frame.getResume());
            case TOMBSTONE ->
                    runOnControlThread(
                            () -> tombstone(connection, correlation, frame.getTombstone()));
            case ENGINE_ORDER ->
                    runOnControlThread(
                            () -> order(connection, correlation, frame.getEngineOrder()));
            default ->
                    throw new IbisstandException(
                            ErrorCode.FRAME_INVALID,
                            "an agent does not handle messages of type " + frame.getBodyCase());
        }
    }

    @Override
    public void closed(WireConnection connection) {
        mStreams.onConnectionClosed(connection);
    }

    private void runOnControlThread(Runnable task) {
        mControlThread.execute(task);
    }

    private void offer(WireConnection connection, long correlation, OfferRequest request) {
        RequestProfile profile =
                new RequestProfile(
                        request.getTeam(),
                        request.getPriority(),
                        chainOf(request),
                        mClock.instant().plusMillis(request.getDeadlineMilliseconds()));
        try {
            connection.send(correlation, OfferMessages.frameOf(mExecutor.offer(profile), mBoot));
        } catch (IbisstandException e) {
            connection.send(correlation, Failures.frameOf(e));
        }
    }

    private void submit(WireConnection connection, long correlation, Submit submit) {
        OutboundStream stream = mStreams.open(connection, correlation);
        RequestProfile profile =
                new RequestProfile(
                        submit.getTeam(),
                        submit.getPriority(),
                        chainOf(submit),
                        mClock.instant().plusMillis(submit.getDeadlineMilliseconds()));
        runOnControlThread(() -> mExecutor.submit(submit, profile, stream));
    }

    private void acknowledge(WireConnection connection, long correlation, long nextSequence) {
        Optional<OutboundStream> found = mStreams.find(connection, correlation);
        if (found.isEmpty()) {
            return;
        }
        OutboundStream stream = found.get();
        boolean mayContinue = stream.acknowledge(nextSequence);
        if (stream.isDelivered()) {
            mStreams.remove(stream);
        } else if (mayContinue) {
            runOnControlThread(() -> mExecutor.resumeReading(stream));
        }
    }

    private void cancel(WireConnection connection, long correlation) {
        mStreams.find(connection, correlation)
                .ifPresent(
                        stream -> {
                            mStreams.remove(stream);
                            runOnControlThread(() -> mExecutor.onStreamAbandoned(stream));
                        });
    }

    private void resume(WireConnection connection, long correlation, Resume resume) {
        boolean isSameBoot = resume.getBoot() == mBoot.value();
        boolean isResumed =
                isSameBoot
                        && mStreams.resume(
                                        resume.getStream(),
                                        connection,
                                        correlation,
                                        resume.getNextSequence())
                                .isPresent();
        if (!isResumed) {
            connection.send(
                    correlation,
                    Failures.frameOf(
                            new Verdict.MayHaveRun(
                                    ErrorCode.STREAM_BROKEN,
                                    "the stream to resume no longer exists")));
        }
    }

    private void tombstone(WireConnection connection, long correlation, Tombstone tombstone) {
        boolean isSameBoot = tombstone.getBoot() == mBoot.value();
        AttemptKey key = AttemptKey.of(tombstone.getAttempt());
        boolean neverRan = isSameBoot && mExecutor.tombstone(key);
        TombstoneReply reply = TombstoneReply.newBuilder().setNeverRan(neverRan).build();
        connection.send(correlation, Frame.newBuilder().setTombstoneReply(reply));
    }

    private void order(WireConnection connection, long correlation, EngineOrder order) {
        mOrders.execute(order)
                .thenAccept(
                        reply ->
                                connection.send(
                                        correlation,
                                        Frame.newBuilder().setEngineOrderReply(reply)));
    }

    private static PrefixChain chainOf(OfferRequest request) {
        return createChain(
                request.getPrefixHashesList().stream().mapToLong(Long::longValue).toArray(),
                request.getPieceBytes(),
                request.getPromptBytes());
    }

    private static PrefixChain chainOf(Submit submit) {
        return createChain(
                submit.getPrefixHashesList().stream().mapToLong(Long::longValue).toArray(),
                submit.getPieceBytes(),
                submit.getPromptBytes());
    }

    private static PrefixChain createChain(long[] hashes, int pieceBytes, int promptBytes) {
        return PrefixChain.ofHashes(hashes, Math.max(1, pieceBytes), promptBytes);
    }
}
