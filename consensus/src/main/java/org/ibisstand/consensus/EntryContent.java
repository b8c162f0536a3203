package org.ibisstand.consensus;

/** What one entry of the log does once it is committed. */
public sealed interface EntryContent {
    /** Nothing; a new leader appends it to commit what earlier leaders left. */
    record NoOperation() implements EntryContent {}

    /**
     * Changes the replicated state.
     *
     * @param data the command, which consensus does not interpret
     */
    record Command(byte[] data) implements EntryContent {}

    /**
     * Sets the members; it holds from the moment it is appended.
     *
     * @param membership all members from here on
     */
    record MembershipEntry(Membership membership) implements EntryContent {}
}
