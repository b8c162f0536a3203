package org.ibisstand.control;

import org.ibisstand.base.IbisstandException;

/**
 * The state that a log replicates. The same commands in the same order must give the same state and
 * results on every member, so an implementation must not read clocks, random numbers or files.
 */
public interface StateMachine {
    /**
     * Applies one committed command; does not throw if it refuses or cannot parse the command.
     *
     * @param command the encoded command
     * @return the encoded result for the proposer
     */
    byte[] apply(byte[] command);

    /** Returns the encoded state; equal states give equal bytes. */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @param snapshot the bytes that {@link #snapshot} returned, on this or on another member
     * @throws IbisstandException with STORAGE_DAMAGED if the bytes are not a valid snapshot
     */
    void restore(byte[] snapshot);
}
