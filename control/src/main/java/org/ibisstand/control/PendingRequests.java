package org.ibisstand.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.IbisstandException;

/** The requests that wait for an output of the consensus module; used on the control thread. */
final class PendingRequests {
    private final Map<Long, CompletableFuture<byte[]>> mFutures = new HashMap<>();
    private long mLastTicket;

    /** Adds a request and returns its ticket. */
    long add(CompletableFuture<byte[]> future) {
        mLastTicket++;
        mFutures.put(mLastTicket, future);
        return mLastTicket;
    }

    void complete(long ticket, byte[] result) {
        Optional.ofNullable(mFutures.remove(ticket)).ifPresent(future -> future.complete(result));
    }

    void fail(long ticket, IbisstandException failure) {
        Optional.ofNullable(mFutures.remove(ticket))
                .ifPresent(future -> future.completeExceptionally(failure));
    }

    void failAll(IbisstandException failure) {
        List<CompletableFuture<byte[]>> futures = List.copyOf(mFutures.values());
        mFutures.clear();
        futures.forEach(future -> future.completeExceptionally(failure));
    }
}
