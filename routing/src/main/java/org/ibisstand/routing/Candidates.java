package org.ibisstand.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ibisstand.base.PrefixChain;

/**
 * Names the agents that are worth asking for an offer.
 *
 * <p>They are the agent that got the deepest prefix last, and the ranks by rendezvous hashing for
 * two prefixes of the prompt: the deepest that other prompts share, and the shallowest, whose
 * agents probably hold the levels between. All entries that saw the same prompts name the same
 * agents.
 */
final class Candidates {
    private final RecentPlacements mRecent;

    Candidates(RecentPlacements recent) {
        mRecent = recent;
    }

    /**
     * Returns candidates without repeats, the most promising first.
     *
     * @param request what is to be placed
     * @param chain the hashes of its prompt, at least one
     * @param count how many candidates are wanted at most
     */
    List<AgentView> of(PlacementRequest request, PrefixChain chain, int count) {
        List<AgentView> chosen = new ArrayList<>(count);
        AgentGroup group = request.group();
        add(chosen, request, count, mRecent.hint(chain).flatMap(group::find));
        long[] levels = levels(chain);
        for (long level : levels) {
            add(chosen, request, count, group.firstRank(level));
        }
        for (long level : levels) {
            add(chosen, request, count, group.secondRank(level));
        }
        addFurtherRanks(chosen, request, levels[0], count);
        return chosen;
    }

    /** Fills up with ranks of hashes that follow from the deepest one, where levels coincide. */
    private static void addFurtherRanks(
            List<AgentView> chosen, PlacementRequest request, long deepest, int count) {
        long hash = deepest;
        for (int attempt = 0; attempt < count && chosen.size() < count; attempt++) {
            hash = Hashes.mix(hash + 1);
            add(chosen, request, count, request.group().firstRank(hash));
            add(chosen, request, count, request.group().secondRank(hash));
        }
    }

    /**
     * Returns the hash of the deepest prefix that was shared, or of the middle of the prompt while
     * none is known.
     *
     * @param chain the hashes of the prompt, at least one
     */
    long deepestShared(PrefixChain chain) {
        return chain.hash(deepestPiece(chain));
    }

    private long[] levels(PrefixChain chain) {
        int deepest = deepestPiece(chain);
        return new long[] {chain.hash(deepest), chain.hash(0)};
    }

    private int deepestPiece(PrefixChain chain) {
        int shared = mRecent.sharedPieces(chain);
        return shared > 0 ? shared - 1 : (chain.length() - 1) / 2;
    }

    private static void add(
            List<AgentView> chosen,
            PlacementRequest request,
            int count,
            Optional<AgentView> candidate) {
        candidate
                .filter(view -> chosen.size() < count)
                .filter(request::allows)
                .filter(view -> !chosen.contains(view))
                .ifPresent(chosen::add);
    }
}
