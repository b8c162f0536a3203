package org.ibisstand.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.ConsensusEnvelope;

/**
 * A replicated log that applies committed commands to a {@link StateMachine}. All methods are
 * called on the control thread; futures complete on it, and commands are applied only on it.
 */
public interface Log extends AutoCloseable {
    /**
     * Appends a command; returns its result once a quorum has it on disk and it is applied.
     *
     * <p>The future fails with an IbisstandException. With NOT_LEADER, NO_QUORUM and
     * STORAGE_REFUSED the command was not applied and never will be. With OUTCOME_UNKNOWN it may
     * still be applied, since the member stopped leading, lost its quorum or could not write after
     * the append.
     *
     * @param command the encoded command for the state machine
     */
    CompletableFuture<byte[]> propose(byte[] command);

    /**
     * Completes once this member is known to have applied everything that was committed before the
     * call. Fails with NOT_LEADER or NO_QUORUM, also if a quorum does not answer in time.
     */
    CompletableFuture<Void> confirmRead();

    /** Returns the current status of the log as known to this member. */
    LogStatus status();

    /**
     * Adds a member as a learner and promotes it to a voter once it has caught up.
     *
     * @param member the new member, with an identity that was never used before
     * @param established whether the group is meant to be larger by this member; false for one that
     *     replaces another one
     */
    CompletableFuture<Void> addMember(LogMember member, boolean established);

    /**
     * Removes a member without a successor; the change is committed once a quorum of the remaining
     * members has it on disk.
     *
     * @param name the name of the member to remove, with or without its identity
     */
    CompletableFuture<Void> removeMember(String name);

    /**
     * Gives back the vote of this member, which is about to stop, if the group can spare it.
     * Completes when it has no vote, or keeps it as no other member can take its place in time.
     */
    default CompletableFuture<Void> depart() {
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Handles a message from another member.
     *
     * @param connection the connection that the message came in on
     * @param envelope the message
     */
    default void received(WireConnection connection, ConsensusEnvelope envelope) {}

    /**
     * Returns the failure after which this member no longer takes part in its group until it is
     * restarted.
     */
    default Optional<IbisstandException> failure() {
        return Optional.empty();
    }

    /** Returns whether the disk of this member refuses writes at present. */
    default boolean isStorageRefused() {
        return false;
    }

    /** Stops the log and fails all open futures. */
    @Override
    void close();
}
