package org.ibisstand.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** A log of one member that stores nothing on disk, for tests and trials. */
public final class SingleMemberLog implements Log {
    private final StateMachine mStateMachine;
    private final LogMember mMember;
    private long mAppliedIndex;

    private SingleMemberLog(StateMachine stateMachine, LogMember member) {
        mStateMachine = stateMachine;
        mMember = member;
    }

    /**
     * Returns a log that commits and applies each command immediately.
     *
     * @param stateMachine the state machine that commands are applied to
     * @param member the only member
     */
    public static SingleMemberLog create(StateMachine stateMachine, LogMember member) {
        return new SingleMemberLog(stateMachine, member);
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        mAppliedIndex++;
        return CompletableFuture.completedFuture(mStateMachine.apply(command));
    }

    @Override
    public CompletableFuture<Void> confirmRead() {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public LogStatus status() {
        return new LogStatus(
                LogStatus.Role.LEADER,
                1,
                Optional.of(mMember.address()),
                mAppliedIndex,
                mAppliedIndex,
                mAppliedIndex,
                1,
                List.of(mMember));
    }

    @Override
    public CompletableFuture<Void> addMember(LogMember member, boolean established) {
        return refuseChange();
    }

    @Override
    public CompletableFuture<Void> removeMember(String name) {
        return refuseChange();
    }

    @Override
    public void close() {}

    private static CompletableFuture<Void> refuseChange() {
        return CompletableFuture.failedFuture(
                new IbisstandException(
                        ErrorCode.REQUEST_MALFORMED,
                        "a single-member log cannot change its members"));
    }
}
