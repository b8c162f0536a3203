package org.ibisstand.control;

import org.ibisstand.base.IbisstandException;

/**
 * The state that a log replicates. Equal commands in equal order give equal states and results on
 * every member, so an implementation reads no clock, no random number and no file.
 */
public interface StateMachine {
    /**
     * Applies one committed command; never throws for a command that it refuses or cannot read.
     *
     * @param command the bytes that were proposed
     * @return the bytes of the result, for the proposer
     */
    byte[] apply(byte[] command);

    /** Returns the whole state; equal states give equal bytes. */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @param snapshot the bytes that {@link #snapshot} returned, on this or on another member
     * @throws IbisstandException with STORAGE_DAMAGED if the bytes are no snapshot
     */
    void restore(byte[] snapshot);
}
