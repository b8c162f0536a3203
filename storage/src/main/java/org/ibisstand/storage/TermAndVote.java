package org.ibisstand.storage;

/**
 * The newest term that a member has seen and whom it voted for in that term.
 *
 * @param term the term, zero at first
 * @param vote the member that got the vote, or empty
 */
public record TermAndVote(long term, String vote) {
    /** What a new member starts with. */
    public static final TermAndVote NONE = new TermAndVote(0, "");
}
