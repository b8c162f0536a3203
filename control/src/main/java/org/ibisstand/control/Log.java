package org.ibisstand.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.ConsensusEnvelope;

/**
 * A replicated log that applies what it commits to one {@link StateMachine}. All methods are called
 * on the control thread; futures complete on it, and the state machine is applied on it alone.
 */
public interface Log extends AutoCloseable {
    /**
     * Appends a command, and returns its result once a majority has it on disk and it is applied.
     *
     * <p>The future fails with an IbisstandException. NOT_LEADER and NO_QUORUM say that the command
     * was not applied and never will be. OUTCOME_UNKNOWN says that it may still be applied: the
     * member stopped leading, or lost its quorum, after the append.
     *
     * @param command the bytes for the state machine
     */
    CompletableFuture<byte[]> propose(byte[] command);

    /**
     * Completes once this member is known to have applied all that was committed before the call.
     * Fails with NOT_LEADER or NO_QUORUM, also when the answer of a quorum takes too long.
     */
    CompletableFuture<Void> confirmRead();

    /** Returns what this member knows of the log now. */
    LogStatus status();

    /**
     * Adds a member as a learner and makes it a voter once it has caught up.
     *
     * @param member the new member, with an identity that was never used before
     */
    CompletableFuture<Void> addMember(LogMember member);

    /**
     * Removes a member; the change counts once the remaining majority has it on disk.
     *
     * @param name the member to remove
     */
    CompletableFuture<Void> removeMember(String name);

    /**
     * Takes a message of another member.
     *
     * @param connection where the message came from
     * @param envelope the message
     */
    default void received(WireConnection connection, ConsensusEnvelope envelope) {}

    /** Returns why this member takes no part in its group any more, until it is started again. */
    default Optional<IbisstandException> failure() {
        return Optional.empty();
    }

    /** Stops the log; futures that are open fail. */
    @Override
    void close();
}
