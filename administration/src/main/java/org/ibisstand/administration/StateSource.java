package org.ibisstand.administration;

import java.util.concurrent.CompletableFuture;

/** Supplies what the state dump of a process shows. */
@FunctionalInterface
public interface StateSource {
    /**
     * Returns a value that Jackson can write, taken on the control thread and immutable from then
     * on. Long lists are shortened by the dump, but the source should bound what it copies.
     */
    CompletableFuture<?> state();
}
