package org.ibisstand.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.IbisstandException;

/** The requests that wait for an output of consensus; used on the control thread. */
final class OpenRequests {
    private final Map<Long, CompletableFuture<byte[]>> mWaiting = new HashMap<>();
    private long mLastTicket;

    /** Returns the number of a new request. */
    long open(CompletableFuture<byte[]> future) {
        mLastTicket++;
        mWaiting.put(mLastTicket, future);
        return mLastTicket;
    }

    void complete(long ticket, byte[] result) {
        Optional.ofNullable(mWaiting.remove(ticket)).ifPresent(future -> future.complete(result));
    }

    void fail(long ticket, IbisstandException failure) {
        Optional.ofNullable(mWaiting.remove(ticket))
                .ifPresent(future -> future.completeExceptionally(failure));
    }

    void failAll(IbisstandException failure) {
        List<CompletableFuture<byte[]>> waiting = List.copyOf(mWaiting.values());
        mWaiting.clear();
        waiting.forEach(future -> future.completeExceptionally(failure));
    }
}
