package org.ibisstand.entry;

import io.netty.util.concurrent.EventExecutor;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.Verdict;
import org.ibisstand.wire.AnswerHandler;
import org.ibisstand.wire.Failures;
import org.ibisstand.wire.StreamReader;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.Acknowledge;
import org.ibisstand.wire.message.Cancel;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.ResponseHead;
import org.ibisstand.wire.message.Resume;
import org.ibisstand.wire.message.Submit;

/**
 * The entry's end of one attempt at one agent.
 *
 * <p>When the connection goes down after the answer has begun, the stream is resumed over the next
 * connection to the same boot of the agent. All methods belong to the event loop of the caller.
 */
final class InboundStream {
    private static final Duration RESUME_PATIENCE = Duration.ofSeconds(4);
    private static final long RESUME_POLL_MILLISECONDS = 50;
    private static final int ACKNOWLEDGE_BYTES = 16 * 1024;

    private final AgentIdentifier mAgent;
    private final AgentConnections mConnections;
    private final EventExecutor mExecutor;
    private final Clock mClock;
    private final InboundListener mListener;
    private final StreamReader mReader = StreamReader.create();
    private WireConnection mConnection;
    private long mCorrelation;
    private Optional<ResponseHead> mHead = Optional.empty();
    private Optional<Instant> mResumeUntil = Optional.empty();
    private boolean mEnded;
    private int mGeneration;
    private int mUnacknowledgedBytes;
    private long mConsumed;

    private InboundStream(
            AgentIdentifier agent,
            AgentConnections connections,
            EventExecutor executor,
            Clock clock,
            WireConnection connection,
            InboundListener listener) {
        mAgent = agent;
        mConnections = connections;
        mExecutor = executor;
        mClock = clock;
        mConnection = connection;
        mListener = listener;
    }

    /**
     * Submits an attempt.
     *
     * @param agent where the connection leads
     * @param connections finds the next connection after a loss
     * @param executor the event loop of the caller
     * @param clock bounds the wait for a resume
     * @param connection carries the attempt
     * @param submit the attempt
     * @param listener receives the answer
     */
    static InboundStream submit(
            AgentIdentifier agent,
            AgentConnections connections,
            EventExecutor executor,
            Clock clock,
            WireConnection connection,
            Submit submit,
            InboundListener listener) {
        InboundStream stream =
                new InboundStream(agent, connections, executor, clock, connection, listener);
        stream.open(Frame.newBuilder().setSubmit(submit));
        return stream;
    }

    /** Gives the attempt up; nothing is delivered any more. */
    void cancel() {
        if (!mEnded) {
            mEnded = true;
            mConnection.send(mCorrelation, Frame.newBuilder().setCancel(Cancel.newBuilder()));
            mConnection.closeRequest(mCorrelation);
        }
    }

    private void open(Frame.Builder request) {
        mGeneration++;
        mCorrelation = mConnection.open(request, new Answers(mGeneration));
    }

    private void answered(Frame frame) {
        switch (frame.getBodyCase()) {
            case RESPONSE_HEAD -> head(frame.getResponseHead());
            case CHUNK -> chunk(frame);
            case END -> end(frame);
            case FAILURE -> fail(Failures.verdictOf(frame.getFailure()), false);
            default -> fail(broken("the agent answered " + frame.getBodyCase()), false);
        }
    }

    private void head(ResponseHead head) {
        if (mHead.isEmpty()) {
            mHead = Optional.of(head);
            mListener.head(head);
        }
    }

    private void chunk(Frame frame) {
        mReader.accept(frame.getChunk())
                .ifPresent(bytes -> mListener.data(bytes, () -> consumed(bytes.length)));
        if (mReader.isBroken()) {
            fail(broken("a part of the answer is missing"), false);
        }
    }

    private void consumed(int bytes) {
        mConsumed++;
        mUnacknowledgedBytes += bytes;
        if (mUnacknowledgedBytes >= ACKNOWLEDGE_BYTES && !mEnded) {
            acknowledge(mConsumed);
        }
    }

    private void acknowledge(long nextSequence) {
        mUnacknowledgedBytes = 0;
        Acknowledge acknowledge = Acknowledge.newBuilder().setNextSequence(nextSequence).build();
        mConnection.send(mCorrelation, Frame.newBuilder().setAcknowledge(acknowledge));
    }

    private void end(Frame frame) {
        if (!mReader.isWhole(frame.getEnd())) {
            fail(broken("the answer is not complete"), false);
            return;
        }
        mEnded = true;
        acknowledge(mReader.nextSequence());
        mConnection.closeRequest(mCorrelation);
        mListener.end(frame.getEnd());
    }

    private void fail(Verdict verdict, boolean connectionLost) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mConnection.closeRequest(mCorrelation);
        mListener.failed(verdict, connectionLost);
    }

    private void lost(IbisstandException cause) {
        if (mEnded) {
            return;
        }
        if (cause.code() == ErrorCode.AGENT_UNREACHABLE && mHead.isEmpty()) {
            fail(new Verdict.NotRun(cause.code(), cause.getMessage()), true);
        } else if (mHead.isEmpty()) {
            fail(new Verdict.MayHaveRun(cause.code(), cause.getMessage()), true);
        } else {
            mResumeUntil = mResumeUntil.or(() -> Optional.of(resumeLimit()));
            resumeWhenConnected();
        }
    }

    private Instant resumeLimit() {
        return mClock.instant().plus(RESUME_PATIENCE);
    }

    private void resumeWhenConnected() {
        if (mEnded) {
            return;
        }
        Optional<WireConnection> next =
                mConnections.find(mAgent).filter(connection -> connection != mConnection);
        if (next.isPresent()) {
            resume(next.get());
        } else if (mResumeUntil.filter(mClock.instant()::isAfter).isPresent()) {
            String message = "no connection to the agent for a resume";
            fail(new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST, message), true);
        } else {
            mExecutor.schedule(
                    this::resumeWhenConnected, RESUME_POLL_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }

    private void resume(WireConnection connection) {
        mConnection = connection;
        mResumeUntil = Optional.empty();
        ResponseHead head = mHead.orElseThrow();
        Resume resume =
                Resume.newBuilder()
                        .setStream(head.getStream())
                        .setBoot(head.getBoot())
                        .setNextSequence(mReader.nextSequence())
                        .build();
        open(Frame.newBuilder().setResume(resume));
    }

    private static Verdict broken(String message) {
        return new Verdict.MayHaveRun(ErrorCode.STREAM_BROKEN, message);
    }

    /**
     * Brings answers to the event loop of the caller; those of an earlier connection are dropped.
     */
    private final class Answers implements AnswerHandler {
        private final int mOf;

        Answers(int generation) {
            mOf = generation;
        }

        @Override
        public void answered(Frame frame) {
            mExecutor.execute(() -> ifCurrent(() -> InboundStream.this.answered(frame)));
        }

        @Override
        public void lost(IbisstandException cause) {
            mExecutor.execute(() -> ifCurrent(() -> InboundStream.this.lost(cause)));
        }

        private void ifCurrent(Runnable action) {
            if (mOf == mGeneration && !mEnded) {
                action.run();
            }
        }
    }
}
