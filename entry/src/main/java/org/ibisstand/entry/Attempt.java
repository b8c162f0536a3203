package org.ibisstand.entry;

import java.time.Instant;
import java.util.Optional;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.Verdict;
import org.ibisstand.routing.Choice;
import org.ibisstand.routing.TrackedOperation;
import org.ibisstand.wire.message.End;
import org.ibisstand.wire.message.ResponseHead;

/**
 * One attempt of a call at one agent; a call that is hedged has two at a time.
 *
 * <p>All methods belong to the event loop of the caller.
 */
final class Attempt implements InboundListener {
    /** Learns what becomes of an attempt. */
    interface Owner {
        /** Returns whether the attempt may pass its answer on; asked with its first byte. */
        boolean mayAnswer(Attempt attempt);

        void ended(Attempt attempt);

        void failed(Attempt attempt, Verdict verdict, boolean connectionLost);
    }

    private final AgentIdentifier mAgent;
    private final FlowContext mContext;
    private final Owner mOwner;
    private final AnswerAssembler mAnswer;
    private final Instant mBegun;
    private Optional<InboundStream> mStream = Optional.empty();
    private Optional<TrackedOperation> mObservation;
    private boolean mFirstSeen;
    private boolean mOver;

    Attempt(
            AgentIdentifier agent,
            FlowContext context,
            Optional<Choice> choice,
            AnswerAssembler answer,
            Owner owner) {
        mAgent = agent;
        mContext = context;
        mAnswer = answer;
        mOwner = owner;
        mBegun = context.now();
        mObservation = context.observe(choice);
        context.loads().started(agent);
    }

    void attach(InboundStream stream) {
        mStream = Optional.of(stream);
    }

    AgentIdentifier agent() {
        return mAgent;
    }

    Instant begun() {
        return mBegun;
    }

    /** Returns whether a part of the answer was passed on to the caller. */
    boolean isStarted() {
        return mAnswer.isStarted();
    }

    /** Passes the end of the answer on to the caller. */
    void answerEnd() {
        mAnswer.end();
    }

    void cancel() {
        if (!mOver) {
            over();
            mStream.ifPresent(InboundStream::cancel);
        }
    }

    @Override
    public void head(ResponseHead head) {
        mAnswer.head(head);
    }

    @Override
    public void data(byte[] bytes, Runnable consumed) {
        if (mOver) {
            return;
        }
        if (!mFirstSeen) {
            mFirstSeen = true;
            mObservation.ifPresent(mContext::firstByteSeen);
            mObservation = Optional.empty();
        }
        if (mOwner.mayAnswer(this)) {
            mAnswer.data(bytes, consumed);
        }
    }

    @Override
    public void end(End end) {
        if (!mOver && mOwner.mayAnswer(this)) {
            over();
            mOwner.ended(this);
        }
    }

    @Override
    public void failed(Verdict verdict, boolean connectionLost) {
        if (!mOver) {
            over();
            mOwner.failed(this, verdict, connectionLost);
        }
    }

    private void over() {
        mOver = true;
        mContext.loads().finished(mAgent);
        mObservation.ifPresent(mContext::abandoned);
        mObservation = Optional.empty();
    }
}
