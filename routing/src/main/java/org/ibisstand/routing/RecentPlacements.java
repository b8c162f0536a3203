package org.ibisstand.routing;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.PrefixChain;

/**
 * A bounded memory of the prefixes that were placed lately, and of the agent that got each.
 *
 * <p>It tells how deep a prompt is shared with earlier ones and where its prefix probably is. Every
 * entry is a hint: newer prefixes overwrite older ones, and a new process begins with none.
 */
public final class RecentPlacements {
    private final AtomicReferenceArray<Placed> mSlots;

    private RecentPlacements(int slots) {
        mSlots = new AtomicReferenceArray<>(slots);
    }

    /**
     * Returns an empty memory.
     *
     * @param slotBits the number of prefixes that fit, as a power of two
     */
    public static RecentPlacements ofBits(int slotBits) {
        return new RecentPlacements(1 << slotBits);
    }

    /**
     * Remembers that an agent got, or said that it holds, the first pieces of a prompt.
     *
     * @param chain the hashes of the prompt
     * @param pieces how many pieces from the first on
     * @param agent where they are
     */
    public void remember(PrefixChain chain, int pieces, AgentIdentifier agent) {
        int known = Math.min(pieces, chain.length());
        for (int piece = 0; piece < known; piece++) {
            long hash = chain.hash(piece);
            mSlots.setRelease(slotOf(hash), new Placed(hash, agent));
        }
    }

    /**
     * Returns how many pieces of a prompt, from the first on, were remembered with earlier prompts.
     *
     * @param chain the hashes of the prompt
     */
    public int sharedPieces(PrefixChain chain) {
        for (int piece = chain.length() - 1; piece >= 0; piece--) {
            if (at(chain.hash(piece)).isPresent()) {
                return piece + 1;
            }
        }
        return 0;
    }

    /**
     * Returns the agent that got the deepest remembered prefix of a prompt.
     *
     * @param chain the hashes of the prompt
     */
    public Optional<AgentIdentifier> hint(PrefixChain chain) {
        int shared = sharedPieces(chain);
        return shared == 0 ? Optional.empty() : at(chain.hash(shared - 1)).map(Placed::agent);
    }

    private Optional<Placed> at(long hash) {
        Placed placed = mSlots.getAcquire(slotOf(hash));
        return placed != null && placed.hash() == hash ? Optional.of(placed) : Optional.empty();
    }

    private int slotOf(long hash) {
        return (int) hash & (mSlots.length() - 1);
    }

    private record Placed(long hash, AgentIdentifier agent) {}
}
