package org.ibisstand.routing;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.PrefixChain;

/**
 * A fixed-size table of recently placed prompt prefixes, with the agent of each.
 *
 * <p>Used to find the longest prefix that a prompt shares with earlier ones, and the agent that
 * probably caches it. The slots are hints only: newer prefixes overwrite older ones, and the table
 * is empty after a restart. Thread-safe.
 */
public final class RecentPlacements {
    private final AtomicReferenceArray<Entry> mSlots;

    private RecentPlacements(int slots) {
        mSlots = new AtomicReferenceArray<>(slots);
    }

    /**
     * Returns an empty table.
     *
     * @param slotBits the base-2 logarithm of the number of slots
     */
    public static RecentPlacements ofBits(int slotBits) {
        return new RecentPlacements(1 << slotBits);
    }

    /**
     * Records that the first pieces of a prompt were placed on an agent or are cached there.
     *
     * @param chain the prefix hashes of the prompt
     * @param pieces the number of leading pieces
     * @param agent the agent that has them
     */
    public void add(PrefixChain chain, int pieces, AgentIdentifier agent) {
        int pieceCount = Math.min(pieces, chain.length());
        for (int piece = 0; piece < pieceCount; piece++) {
            long hash = chain.hash(piece);
            mSlots.setRelease(slotOf(hash), new Entry(hash, agent));
        }
    }

    /**
     * Returns the number of leading pieces that a prompt shares with recorded prompts.
     *
     * @param chain the prefix hashes of the prompt
     */
    public int sharedPieces(PrefixChain chain) {
        for (int piece = chain.length() - 1; piece >= 0; piece--) {
            if (lookUp(chain.hash(piece)).isPresent()) {
                return piece + 1;
            }
        }
        return 0;
    }

    /**
     * Returns the agent on which the longest recorded prefix of a prompt was last placed.
     *
     * @param chain the prefix hashes of the prompt
     */
    public Optional<AgentIdentifier> lastAgent(PrefixChain chain) {
        int shared = sharedPieces(chain);
        return shared == 0 ? Optional.empty() : lookUp(chain.hash(shared - 1)).map(Entry::agent);
    }

    private Optional<Entry> lookUp(long hash) {
        Entry entry = mSlots.getAcquire(slotOf(hash));
        return entry != null && entry.hash() == hash ? Optional.of(entry) : Optional.empty();
    }

    private int slotOf(long hash) {
        return (int) hash & (mSlots.length() - 1);
    }

    private record Entry(long hash, AgentIdentifier agent) {}
}
