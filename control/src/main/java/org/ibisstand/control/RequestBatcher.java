package org.ibisstand.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.consensus.Input;
import org.ibisstand.consensus.Proposal;

/**
 * Batches the commands and reads that arrive while the control thread is busy into one step of the
 * consensus module; used on the control thread.
 */
final class RequestBatcher {
    private final Executor mControlThread;
    private final PendingRequests mRequests;
    private final Consumer<Input> mStep;
    private List<Proposal> mProposals = new ArrayList<>();
    private List<CompletableFuture<Void>> mReads = new ArrayList<>();
    private boolean mFlushScheduled;

    RequestBatcher(Executor controlThread, PendingRequests requests, Consumer<Input> step) {
        mControlThread = controlThread;
        mRequests = requests;
        mStep = step;
    }

    CompletableFuture<byte[]> propose(byte[] command) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        mProposals.add(new Proposal(mRequests.add(future), command));
        scheduleFlush();
        return future;
    }

    CompletableFuture<Void> confirmRead() {
        CompletableFuture<Void> future = new CompletableFuture<>();
        mReads.add(future);
        scheduleFlush();
        return future;
    }

    void failReads(IbisstandException failure) {
        mReads.forEach(read -> read.completeExceptionally(failure));
        mReads = new ArrayList<>();
    }

    private void scheduleFlush() {
        if (!mFlushScheduled) {
            mFlushScheduled = true;
            mControlThread.execute(this::flush);
        }
    }

    private void flush() {
        mFlushScheduled = false;
        List<Proposal> proposals = mProposals;
        mProposals = new ArrayList<>();
        List<CompletableFuture<Void>> reads = mReads;
        mReads = new ArrayList<>();
        if (!proposals.isEmpty()) {
            mStep.accept(new Input.Propose(proposals));
        }
        if (!reads.isEmpty()) {
            mStep.accept(new Input.ConfirmRead(mRequests.add(sharedResult(reads))));
        }
    }

    private static CompletableFuture<byte[]> sharedResult(List<CompletableFuture<Void>> reads) {
        CompletableFuture<byte[]> shared = new CompletableFuture<>();
        shared.whenComplete((result, failure) -> reads.forEach(read -> complete(read, failure)));
        return shared;
    }

    private static void complete(CompletableFuture<Void> read, Throwable failure) {
        if (failure == null) {
            read.complete(null);
        } else {
            read.completeExceptionally(failure);
        }
    }
}
