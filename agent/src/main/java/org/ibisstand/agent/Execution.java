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
 * One request at this agent, from its submission to its end.
 *
 * <p>An unclaimed request is streamed as it comes. The answer of a claimed one is collected, so
 * that it is recorded before anybody sees it. State belongs to the control thread, but for the
 * streams, which any thread may use.
 */
final class Execution {
    /** Where an execution stands. */
    enum Stage {
        WAITING,
        RUNNING,
        ENDED
    }

    private final long mWork;
    private final Submit mSubmit;
    private final PrefixChain mChain;
    private final Instant mReceived;
    private final List<OutboundStream> mStreams = new ArrayList<>();
    private final ByteArrayOutputStream mCollected = new ByteArrayOutputStream();
    private final UsageScanner mUsage = new UsageScanner();
    private volatile Optional<BackendCall> mCall = Optional.empty();
    private Stage mStage = Stage.WAITING;
    private Instant mDispatched;
    private boolean mFirstSeen;
    private Optional<Instant> mFirstByte = Optional.empty();
    private int mHeldPieces;
    private Optional<ResponseHead.Builder> mHead = Optional.empty();
    private Optional<Outcome> mOutcome = Optional.empty();

    Execution(long work, Submit submit, PrefixChain chain, Instant received) {
        mWork = work;
        mSubmit = submit;
        mChain = chain;
        mReceived = received;
        mDispatched = received;
    }

    long work() {
        return mWork;
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

    /** Returns whether the work may be given up once nobody waits for it. */
    boolean mayBeCancelled() {
        return mSubmit.getIdempotent();
    }

    Stage stage() {
        return mStage;
    }

    Instant received() {
        return mReceived;
    }

    Instant dispatched() {
        return mDispatched;
    }

    /** Notes when the first byte of the body arrived. */
    void firstByte(Instant now) {
        mFirstByte = Optional.of(now);
    }

    Optional<Instant> firstByte() {
        return mFirstByte;
    }

    int heldPieces() {
        return mHeldPieces;
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

    void dispatched(Instant now, int heldPieces) {
        mStage = Stage.RUNNING;
        mDispatched = now;
        mHeldPieces = heldPieces;
    }

    void call(BackendCall call) {
        mCall = Optional.of(call);
    }

    Optional<BackendCall> call() {
        return mCall;
    }

    void ended() {
        mStage = Stage.ENDED;
    }

    /** Returns true the first time only. */
    boolean markFirst() {
        boolean first = !mFirstSeen;
        mFirstSeen = true;
        return first;
    }

    void head(int status, List<Header> headers, String agent, long boot) {
        ResponseHead.Builder head =
                ResponseHead.newBuilder()
                        .setStatus(status)
                        .addAllHeaders(headers)
                        .setAgent(agent)
                        .setBoot(boot)
                        .setHeldPieces(mHeldPieces);
        mHead = Optional.of(head);
        if (!isClaimed()) {
            streams().forEach(stream -> stream.head(head));
        }
    }

    int status() {
        return mHead.map(ResponseHead.Builder::getStatus).orElse(0);
    }

    /** Takes a part of the answer and returns whether reading may go on. */
    boolean data(byte[] bytes) {
        mUsage.add(bytes);
        if (isClaimed()) {
            mCollected.writeBytes(bytes);
            return true;
        }
        boolean mayContinue = true;
        for (OutboundStream stream : streams()) {
            mayContinue &= stream.data(bytes);
        }
        return mayContinue;
    }

    int collectedBytes() {
        return mCollected.size();
    }

    /** Returns what to record: the collected answer, without a body that is too large. */
    Outcome collectedOutcome(int maximumBytes) {
        Outcome.Builder outcome = Outcome.newBuilder().setStatus(status());
        mHead.ifPresent(head -> outcome.addAllHeaders(head.getHeadersList()));
        if (mCollected.size() > maximumBytes) {
            return outcome.setTruncated(true).build();
        }
        return outcome.setBody(ByteString.copyFrom(mCollected.toByteArray())).build();
    }

    void outcome(Outcome outcome) {
        mOutcome = Optional.of(outcome);
    }

    Optional<Outcome> outcome() {
        return mOutcome;
    }

    /** Sends the collected answer as a whole. */
    void deliverCollected(OutboundStream stream, End.Builder end) {
        mHead.ifPresent(stream::head);
        if (mCollected.size() > 0) {
            stream.data(mCollected.toByteArray());
        }
        stream.end(end);
    }

    void fail(Frame.Builder failure) {
        streams().forEach(stream -> stream.fail(failure.clone()));
    }
}
