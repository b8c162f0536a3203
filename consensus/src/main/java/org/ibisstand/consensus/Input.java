package org.ibisstand.consensus;

import java.util.List;

/** An event that a member processes in one step. */
public sealed interface Input {
    /** Time has passed; to be passed in several times per heartbeat interval. */
    record Tick() implements Input {}

    /**
     * A message arrived.
     *
     * @param from the sender
     * @param message what it sent
     */
    record Receive(MemberIdentifier from, Message message) implements Input {}

    /**
     * Commands to append; those given together share one write and one message.
     *
     * @param proposals the commands in order
     */
    record Propose(List<Proposal> proposals) implements Input {}

    /**
     * A read that must see everything acknowledged before now.
     *
     * @param ticket names the request in the outputs
     */
    record ConfirmRead(long ticket) implements Input {}

    /**
     * An operator's change of the members.
     *
     * @param ticket names the request in the outputs
     * @param change what to change
     */
    record ChangeMembership(long ticket, MembershipChange change) implements Input {}

    /**
     * Storage has made everything durable up to a {@link Output.Persist}.
     *
     * @param sequence the number of that output
     */
    record Persisted(long sequence) implements Input {}

    /**
     * The replicated state after all entries applied so far, to replace the entries by.
     *
     * @param index the last entry applied
     * @param state the encoded state
     */
    record Compact(long index, byte[] state) implements Input {}

    /**
     * Starts a new cluster; only a member without any log takes it.
     *
     * @param membership the first members, this one among them
     * @param state the encoded initial state
     */
    record Form(Membership membership, byte[] state) implements Input {}
}
