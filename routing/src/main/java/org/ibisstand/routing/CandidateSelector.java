package org.ibisstand.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ibisstand.base.PrefixChain;

/**
 * Selects the agents to ask for an offer: those that probably cache a prefix of the prompt.
 *
 * <p>The first candidate is the agent on which the longest known prefix was last placed. The others
 * are the first and second agents by rendezvous hashing of two prefixes: the longest that earlier
 * prompts share, and the first piece alone, whose agents probably cache the prefixes of lengths in
 * between. Entries that have placed the same prompts select the same agents.
 */
final class CandidateSelector {
    private final RecentPlacements mRecentPlacements;

    CandidateSelector(RecentPlacements recent) {
        mRecentPlacements = recent;
    }

    /**
     * Returns distinct candidates, best first.
     *
     * @param request the request to place
     * @param chain the prefix hashes of its prompt; at least one
     * @param count the maximum number of candidates
     */
    List<AgentView> select(PlacementRequest request, PrefixChain chain, int count) {
        List<AgentView> selected = new ArrayList<>(count);
        AgentGroup group = request.group();
        addIfAllowed(
                selected, request, count, mRecentPlacements.lastAgent(chain).flatMap(group::find));
        long[] candidateHashes = candidateHashes(chain);
        for (long hash : candidateHashes) {
            addIfAllowed(selected, request, count, group.firstRanked(hash));
        }
        for (long hash : candidateHashes) {
            addIfAllowed(selected, request, count, group.secondRanked(hash));
        }
        fillWithDerivedHashes(selected, request, candidateHashes[0], count);
        return selected;
    }

    /**
     * Fills the list by hashes derived from the deepest one, if the others gave the same agents.
     */
    private static void fillWithDerivedHashes(
            List<AgentView> selected, PlacementRequest request, long longestPrefixHash, int count) {
        long hash = longestPrefixHash;
        for (int attempt = 0; attempt < count && selected.size() < count; attempt++) {
            hash = Hashes.mix(hash + 1);
            addIfAllowed(selected, request, count, request.group().firstRanked(hash));
            addIfAllowed(selected, request, count, request.group().secondRanked(hash));
        }
    }

    /**
     * Returns the hash of the longest prefix shared with earlier prompts, or of the first half of
     * the prompt if none is known.
     *
     * @param chain the prefix hashes of the prompt; at least one
     */
    long longestSharedPrefixHash(PrefixChain chain) {
        return chain.hash(lastSharedPiece(chain));
    }

    private long[] candidateHashes(PrefixChain chain) {
        int lastSharedPiece = lastSharedPiece(chain);
        return new long[] {chain.hash(lastSharedPiece), chain.hash(0)};
    }

    private int lastSharedPiece(PrefixChain chain) {
        int sharedPieces = mRecentPlacements.sharedPieces(chain);
        return sharedPieces > 0 ? sharedPieces - 1 : (chain.length() - 1) / 2;
    }

    private static void addIfAllowed(
            List<AgentView> selected,
            PlacementRequest request,
            int count,
            Optional<AgentView> candidate) {
        candidate
                .filter(view -> selected.size() < count)
                .filter(request::isAllowed)
                .filter(view -> !selected.contains(view))
                .ifPresent(selected::add);
    }
}
