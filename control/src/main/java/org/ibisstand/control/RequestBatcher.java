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
 * Gathers the commands and reads that arrive while the control thread is busy, so that they share
 * one step; used on the control thread.
 */
final class RequestBatches {
    private final Executor mControlThread;
    private final OpenRequests mRequests;
    private final Consumer<Input> mStep;
    private List<Proposal> mProposals = new ArrayList<>();
    private List<CompletableFuture<Void>> mReads = new ArrayList<>();
    private boolean mFlushing;

    RequestBatches(Executor controlThread, OpenRequests requests, Consumer<Input> step) {
        mControlThread = controlThread;
        mRequests = requests;
        mStep = step;
    }

    CompletableFuture<byte[]> propose(byte[] command) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        mProposals.add(new Proposal(mRequests.open(future), command));
        flushSoon();
        return future;
    }

    CompletableFuture<Void> confirmRead() {
        CompletableFuture<Void> future = new CompletableFuture<>();
        mReads.add(future);
        flushSoon();
        return future;
    }

    void failReads(IbisstandException failure) {
        mReads.forEach(read -> read.completeExceptionally(failure));
        mReads = new ArrayList<>();
    }

    private void flushSoon() {
        if (!mFlushing) {
            mFlushing = true;
            mControlThread.execute(this::flush);
        }
    }

    private void flush() {
        mFlushing = false;
        List<Proposal> proposals = mProposals;
        mProposals = new ArrayList<>();
        List<CompletableFuture<Void>> reads = mReads;
        mReads = new ArrayList<>();
        if (!proposals.isEmpty()) {
            mStep.accept(new Input.Propose(proposals));
        }
        if (!reads.isEmpty()) {
            mStep.accept(new Input.ConfirmRead(mRequests.open(joined(reads))));
        }
    }

    private static CompletableFuture<byte[]> joined(List<CompletableFuture<Void>> reads) {
        CompletableFuture<byte[]> all = new CompletableFuture<>();
        all.whenComplete((result, failure) -> reads.forEach(read -> complete(read, failure)));
        return all;
    }

    private static void complete(CompletableFuture<Void> read, Throwable failure) {
        if (failure == null) {
            read.complete(null);
        } else {
            read.completeExceptionally(failure);
        }
    }
}
