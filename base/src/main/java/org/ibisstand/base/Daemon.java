package org.ibisstand.base;

import java.util.concurrent.CompletableFuture;

/** A running process of ibisstand, as its command line sees it. */
public interface Daemon extends AutoCloseable {
    /**
     * Begins a graceful stop: no new work is taken and requests in progress are finished, at most
     * for the time in the settings.
     *
     * @return completes once the process may end
     */
    CompletableFuture<Void> stop();

    /** Ends at once; requests in progress are cut. */
    @Override
    void close();
}
