package org.ibisstand.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.control.message.PutRouting;

/**
 * Proposes routing configurations in the order in which they came, a few at a time; used on the
 * control thread.
 *
 * <p>A configuration may have hundreds of kilobytes, and one that is proposed is held in several
 * copies, for the disk and for each member. Operators may send several at once, so those beyond a
 * size wait in one copy, and those beyond another size are refused.
 */
final class RoutingChanges {
    /** A few configurations of usual size, which then share syncs; always one of any size. */
    private static final int PROPOSED_BYTES_LIMIT = 2 << 20;

    private static final int WAITING_BYTES_LIMIT = 12 << 20;

    private final Function<PutRouting, CompletableFuture<CommandResult>> mProposer;
    private final Deque<WaitingChange> mWaiting = new ArrayDeque<>();
    private long mProposedBytes;
    private long mWaitingBytes;
    private boolean mIsProposing;

    /** Creates an empty queue that hands the changes to the given proposer. */
    RoutingChanges(Function<PutRouting, CompletableFuture<CommandResult>> proposer) {
        mProposer = proposer;
    }

    /**
     * Adds a change; returns its result once it is committed. Fails with OVERLOADED if too many
     * bytes wait, or as the proposer does.
     */
    CompletableFuture<CommandResult> add(PutRouting routing) {
        int bytes = routing.getSerializedSize();
        if (!mWaiting.isEmpty() && mWaitingBytes + bytes > WAITING_BYTES_LIMIT) {
            return CompletableFuture.failedFuture(
                    new IbisstandException(
                            ErrorCode.OVERLOADED, "too many configurations wait for the log"));
        }
        WaitingChange change = new WaitingChange(routing, bytes, new CompletableFuture<>());
        mWaiting.addLast(change);
        mWaitingBytes += bytes;
        proposeWaiting();
        return change.result();
    }

    /**
     * Proposes what has room; a change that fails at once calls this again from within the loop.
     */
    private void proposeWaiting() {
        if (mIsProposing) {
            return;
        }
        mIsProposing = true;
        while (!mWaiting.isEmpty() && hasRoom(mWaiting.getFirst())) {
            WaitingChange change = mWaiting.removeFirst();
            mWaitingBytes -= change.bytes();
            mProposedBytes += change.bytes();
            propose(change.routing())
                    .whenComplete((result, failure) -> finish(change, result, failure));
        }
        mIsProposing = false;
    }

    private CompletableFuture<CommandResult> propose(PutRouting routing) {
        try {
            return mProposer.apply(routing);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private boolean hasRoom(WaitingChange change) {
        return mProposedBytes == 0 || mProposedBytes + change.bytes() <= PROPOSED_BYTES_LIMIT;
    }

    private void finish(WaitingChange change, CommandResult result, Throwable failure) {
        mProposedBytes -= change.bytes();
        if (failure == null) {
            change.result().complete(result);
        } else {
            change.result().completeExceptionally(failure);
        }
        proposeWaiting();
    }

    /** A change that was not proposed yet, and its future result. */
    private record WaitingChange(
            PutRouting routing, int bytes, CompletableFuture<CommandResult> result) {}
}
