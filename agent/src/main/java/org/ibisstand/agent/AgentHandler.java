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

/** Answers what entries and control ask of an agent; decisions run on the control thread. */
final class AgentHandler implements FrameHandler {
    private final BootIdentifier mBoot;
    private final Clock mClock;
    private final ScheduledExecutorService mControlThread;
    private final Workload mWorkload;
    private final Streams mStreams;
    private final EngineOrders mOrders;

    AgentHandler(AgentRuntime runtime, Workload workload, Streams streams, EngineOrders orders) {
        mBoot = runtime.boot();
        mClock = runtime.clock();
        mControlThread = runtime.controlThread();
        mWorkload = workload;
        mStreams = streams;
        mOrders = orders;
    }

    @Override
    public void received(WireConnection connection, Frame frame) {
        long correlation = frame.getCorrelation();
        switch (frame.getBodyCase()) {
            case OFFER_REQUEST ->
                    onControl(() -> offer(connection, correlation, frame.getOfferRequest()));
            case SUBMIT -> submit(connection, correlation, frame.getSubmit());
            case ACKNOWLEDGE ->
                    acknowledge(connection, correlation, frame.getAcknowledge().getNextSequence());
            case CANCEL -> cancel(connection, correlation);
            case RESUME -> resume(connection, correlation, frame.getResume());
            case TOMBSTONE ->
                    onControl(() -> tombstone(connection, correlation, frame.getTombstone()));
            case ENGINE_ORDER ->
                    onControl(() -> order(connection, correlation, frame.getEngineOrder()));
            default ->
                    throw new IbisstandException(
                            ErrorCode.FRAME_INVALID, "an agent takes no " + frame.getBodyCase());
        }
    }

    @Override
    public void closed(WireConnection connection) {
        mStreams.connectionClosed(connection);
    }

    private void onControl(Runnable task) {
        mControlThread.execute(task);
    }

    private void offer(WireConnection connection, long correlation, OfferRequest request) {
        RequestProfile question =
                new RequestProfile(
                        request.getTeam(),
                        request.getPriority(),
                        chainOf(request),
                        mClock.instant().plusMillis(request.getDeadlineMilliseconds()));
        try {
            connection.send(correlation, Offers.frameOf(mWorkload.offer(question), mBoot));
        } catch (IbisstandException e) {
            connection.send(correlation, Failures.frameOf(e));
        }
    }

    private void submit(WireConnection connection, long correlation, Submit submit) {
        OutboundStream stream = mStreams.open(connection, correlation);
        RequestProfile question =
                new RequestProfile(
                        submit.getTeam(),
                        submit.getPriority(),
                        chainOf(submit),
                        mClock.instant().plusMillis(submit.getDeadlineMilliseconds()));
        onControl(() -> mWorkload.submit(submit, question, stream));
    }

    private void acknowledge(WireConnection connection, long correlation, long nextSequence) {
        Optional<OutboundStream> found = mStreams.find(connection, correlation);
        if (found.isEmpty()) {
            return;
        }
        OutboundStream stream = found.get();
        boolean mayContinue = stream.acknowledge(nextSequence);
        if (stream.isDelivered()) {
            mStreams.forget(stream);
        } else if (mayContinue) {
            onControl(() -> mWorkload.resumeReading(stream));
        }
    }

    private void cancel(WireConnection connection, long correlation) {
        mStreams.find(connection, correlation)
                .ifPresent(
                        stream -> {
                            mStreams.forget(stream);
                            onControl(() -> mWorkload.abandon(stream));
                        });
    }

    private void resume(WireConnection connection, long correlation, Resume resume) {
        boolean sameBoot = resume.getBoot() == mBoot.value();
        boolean resumed =
                sameBoot
                        && mStreams.resume(
                                        resume.getStream(),
                                        connection,
                                        correlation,
                                        resume.getNextSequence())
                                .isPresent();
        if (!resumed) {
            connection.send(
                    correlation,
                    Failures.frameOf(
                            new Verdict.MayHaveRun(
                                    ErrorCode.STREAM_BROKEN, "the stream is not kept any more")));
        }
    }

    private void tombstone(WireConnection connection, long correlation, Tombstone tombstone) {
        boolean sameBoot = tombstone.getBoot() == mBoot.value();
        AttemptKey key = AttemptKey.of(tombstone.getAttempt());
        boolean neverRan = sameBoot && mWorkload.tombstone(key);
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
        return chain(
                request.getPrefixHashesList().stream().mapToLong(Long::longValue).toArray(),
                request.getPieceBytes(),
                request.getPromptBytes());
    }

    private static PrefixChain chainOf(Submit submit) {
        return chain(
                submit.getPrefixHashesList().stream().mapToLong(Long::longValue).toArray(),
                submit.getPieceBytes(),
                submit.getPromptBytes());
    }

    private static PrefixChain chain(long[] hashes, int pieceBytes, int promptBytes) {
        return PrefixChain.ofHashes(hashes, Math.max(1, pieceBytes), promptBytes);
    }
}
