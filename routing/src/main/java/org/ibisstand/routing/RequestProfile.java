package org.ibisstand.routing;

import java.time.Instant;
import java.util.Objects;
import org.ibisstand.base.PrefixChain;

/**
 * What one backend server must know of a request to offer a place for it.
 *
 * @param team the team that pays for the request
 * @param rank the rank of the priority class, zero for the most urgent
 * @param chain the prefix hashes of the prompt; without bytes for a plain service
 * @param deadline when the first token is of no more use
 */
public record RequestProfile(String team, int rank, PrefixChain chain, Instant deadline) {
    private static final PrefixChain NO_PROMPT = PrefixChain.ofHashes(new long[0], 1, 0);

    /** Creates a question; all parts are required. */
    public RequestProfile {
        Objects.requireNonNull(team);
        Objects.requireNonNull(chain);
        Objects.requireNonNull(deadline);
    }

    /**
     * Returns a question about a call to a plain service, which has no prompt.
     *
     * @param team the team that pays for the call
     * @param rank the rank of the priority class, zero for the most urgent
     * @param deadline when the answer is of no more use
     */
    public static RequestProfile plain(String team, int rank, Instant deadline) {
        return new RequestProfile(team, rank, NO_PROMPT, deadline);
    }
}
