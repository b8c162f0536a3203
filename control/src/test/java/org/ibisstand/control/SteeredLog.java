package org.ibisstand.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** A log of one member whose leadership a test sets. */
final class SteeredLog implements Log, LogOpener {
    private volatile LogStatus.Role mRole = LogStatus.Role.LEADER;
    private volatile long mTerm = 1;
    private volatile boolean mIsConfirmed = true;
    private volatile Optional<CompletableFuture<Void>> mHeldRead = Optional.empty();
    private final AtomicInteger mReads = new AtomicInteger();
    private Log mLog;

    /** Makes the member lead in a term. */
    void lead(long term) {
        mTerm = term;
        mRole = LogStatus.Role.LEADER;
    }

    /** Makes the member follow another one. */
    void follow() {
        mRole = LogStatus.Role.FOLLOWER;
    }

    /** Sets whether a quorum confirms that the member leads. */
    void setConfirmed(boolean isConfirmed) {
        mIsConfirmed = isConfirmed;
    }

    /** Keeps all reads without an answer until the returned future completes. */
    CompletableFuture<Void> holdReads() {
        CompletableFuture<Void> held = new CompletableFuture<>();
        mHeldRead = Optional.of(held);
        return held;
    }

    int reads() {
        return mReads.get();
    }

    @Override
    public Log open(StateMachine stateMachine, LogContext context) {
        mLog =
                SingleMemberLog.create(
                        stateMachine, new LogMember("control-1", "127.0.0.1:9", true));
        return this;
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        return mLog.propose(command);
    }

    @Override
    public CompletableFuture<Void> confirmRead() {
        mReads.incrementAndGet();
        if (!mIsConfirmed) {
            return CompletableFuture.failedFuture(
                    new IbisstandException(ErrorCode.NO_QUORUM, "no quorum"));
        }
        return mHeldRead.orElseGet(mLog::confirmRead);
    }

    @Override
    public LogStatus status() {
        LogStatus status = mLog.status();
        return new LogStatus(
                mRole,
                mTerm,
                status.leaderAddress(),
                status.committedIndex(),
                status.appliedIndex(),
                status.lastIndex(),
                status.lastTerm(),
                status.members());
    }

    @Override
    public CompletableFuture<Void> addMember(LogMember member, boolean established) {
        return mLog.addMember(member, established);
    }

    @Override
    public CompletableFuture<Void> removeMember(String name) {
        return mLog.removeMember(name);
    }

    @Override
    public void close() {
        mLog.close();
    }
}
