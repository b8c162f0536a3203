package org.ibisstand.agent;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ibisstand.base.PrefixChain;
import org.ibisstand.wire.OutboundStream;
import org.ibisstand.wire.message.End;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Header;
import org.ibisstand.wire.message.Outcome;
import org.ibisstand.wire.message.ResponseHead;
import org.ibisstand.wire.message.Submit;

/**
 * The execution of one request at this agent, from submission to end.
 *
 * <p>The response to an unclaimed request is streamed as it arrives. The response to a claimed one
 * is buffered, so that its outcome is recorded before a caller receives it. State belongs to the
 * control thread, except for the streams, which any thread may use.
 */
final class Execution {
    /** The progress of an execution. */
    enum Stage {
        QUEUED,
        RUNNING,
        ENDED
    }

    private final long mWorkIdentifier;
    private final Submit mSubmit;
    private final PrefixChain mChain;
    private final Instant mReceivedAt;
    private final List<OutboundStream> mStreams = new ArrayList<>();
    private final ByteArrayOutputStream mBufferedBody = new ByteArrayOutputStream();
    private final UsageScanner mUsage = new UsageScanner();
    private volatile Optional<BackendCall> mCall = Optional.empty();
    private Stage mStage = Stage.QUEUED;
    private Instant mDispatchedAt;
    private boolean mHasData;
    private Optional<Instant> mFirstByteAt = Optional.empty();
    private int mExpectedCachedPieces;
    private Optional<ResponseHead.Builder> mHead = Optional.empty();
    private Optional<Outcome> mOutcome = Optional.empty();

    Execution(long workIdentifier, Submit submit, PrefixChain chain, Instant receivedAt) {
        mWorkIdentifier = workIdentifier;
        mSubmit = submit;
        mChain = chain;
        mReceivedAt = receivedAt;
        mDispatchedAt = receivedAt;
    }

    long workIdentifier() {
        return mWorkIdentifier;
    }

    Submit submit() {
        return mSubmit;
    }

    PrefixChain chain() {
        return mChain;
    }

    Optional<AttemptKey> attempt() {
        return mSubmit.hasAttempt()
                ? Optional.of(AttemptKey.of(mSubmit.getAttempt()))
                : Optional.empty();
    }

    boolean isClaimed() {
        return mSubmit.hasAttempt();
    }

    /** Returns whether the request may be cancelled once no caller waits for it. */
    boolean isCancellable() {
        return mSubmit.getIdempotent();
    }

    Stage stage() {
        return mStage;
    }

    Instant receivedAt() {
        return mReceivedAt;
    }

    Instant dispatchedAt() {
        return mDispatchedAt;
    }

    /** Records when the first byte of the response body arrived. */
    void markFirstByte(Instant now) {
        mFirstByteAt = Optional.of(now);
    }

    Optional<Instant> firstByteAt() {
        return mFirstByteAt;
    }

    int expectedCachedPieces() {
        return mExpectedCachedPieces;
    }

    UsageScanner usage() {
        return mUsage;
    }

    synchronized void join(OutboundStream stream) {
        mStreams.add(stream);
    }

    synchronized List<OutboundStream> streams() {
        return List.copyOf(mStreams);
    }

    void markDispatched(Instant now, int expectedCachedPieces) {
        mStage = Stage.RUNNING;
        mDispatchedAt = now;
        mExpectedCachedPieces = expectedCachedPieces;
    }

    void setCall(BackendCall call) {
        mCall = Optional.of(call);
    }

    Optional<BackendCall> call() {
        return mCall;
    }

    void markEnded() {
        mStage = Stage.ENDED;
    }

    /** Returns true on the first call only. */
    boolean markFirstData() {
        boolean isFirst = !mHasData;
        mHasData = true;
        return isFirst;
    }

    void onHead(int status, List<Header> headers, String agent, long boot) {
        ResponseHead.Builder head =
                ResponseHead.newBuilder()
                        .setStatus(status)
                        .addAllHeaders(headers)
                        .setAgent(agent)
                        .setBoot(boot)
                        .setHeldPieces(mExpectedCachedPieces);
        mHead = Optional.of(head);
        if (!isClaimed()) {
            streams().forEach(stream -> stream.head(head));
        }
    }

    int status() {
        return mHead.map(ResponseHead.Builder::getStatus).orElse(0);
    }

    /** Processes a chunk of the response body and returns whether reading may continue. */
    boolean onData(byte[] bytes) {
        mUsage.add(bytes);
        if (isClaimed()) {
            mBufferedBody.writeBytes(bytes);
            return true;
        }
        boolean mayContinue = true;
        for (OutboundStream stream : streams()) {
            mayContinue &= stream.data(bytes);
        }
        return mayContinue;
    }

    int bufferedBytes() {
        return mBufferedBody.size();
    }

    /** Returns the outcome to record; the body is left out if it exceeds the maximum. */
    Outcome bufferedOutcome(int maximumBytes) {
        Outcome.Builder outcome = Outcome.newBuilder().setStatus(status());
        mHead.ifPresent(head -> outcome.addAllHeaders(head.getHeadersList()));
        if (mBufferedBody.size() > maximumBytes) {
            return outcome.setTruncated(true).build();
        }
        return outcome.setBody(ByteString.copyFrom(mBufferedBody.toByteArray())).build();
    }

    void setOutcome(Outcome outcome) {
        mOutcome = Optional.of(outcome);
    }

    Optional<Outcome> outcome() {
        return mOutcome;
    }

    /** Sends the whole buffered response. */
    void deliverBuffered(OutboundStream stream, End.Builder end) {
        mHead.ifPresent(stream::head);
        if (mBufferedBody.size() > 0) {
            stream.data(mBufferedBody.toByteArray());
        }
        stream.end(end);
    }

    void fail(Frame.Builder failure) {
        streams().forEach(stream -> stream.fail(failure.clone()));
    }
}
