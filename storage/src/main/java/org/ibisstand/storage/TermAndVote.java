package org.ibisstand.storage;

/**
 * The latest term that a member has seen, and its vote in that term.
 *
 * @param term the term, initially zero
 * @param vote the member voted for, or an empty string if none
 */
public record TermAndVote(long term, String vote) {
    /** The initial state of a new member. */
    public static final TermAndVote NONE = new TermAndVote(0, "");
}
