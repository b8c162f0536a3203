package org.ibisstand.routing;

import java.time.Instant;
import java.util.Objects;
import org.ibisstand.base.PrefixChain;

/**
 * The properties of a request that an agent's queue uses to predict, order and refuse it.
 *
 * @param team the team to which the request is charged
 * @param rank the rank of the priority class; zero is the most urgent
 * @param chain the prefix hashes of the prompt; empty for a plain service
 * @param deadline when the first token is no longer useful
 */
public record RequestProfile(String team, int rank, PrefixChain chain, Instant deadline) {
    private static final PrefixChain NO_PROMPT = PrefixChain.ofHashes(new long[0], 1, 0);

    /** Checks that no component is null. */
    public RequestProfile {
        Objects.requireNonNull(team);
        Objects.requireNonNull(chain);
        Objects.requireNonNull(deadline);
    }

    /**
     * Describes a call to a plain service, which has no prompt.
     *
     * @param team the team to which the call is charged
     * @param rank the rank of the priority class; zero is the most urgent
     * @param deadline when the response is no longer useful
     */
    public static RequestProfile plain(String team, int rank, Instant deadline) {
        return new RequestProfile(team, rank, NO_PROMPT, deadline);
    }
}
