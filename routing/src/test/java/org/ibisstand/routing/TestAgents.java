package org.ibisstand.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.PrefixChain;

/** Factory methods for agents, prompts and offers in tests. */
final class TestAgents {
    static final String MODEL = "contracts";
    static final String WEIGHTS = "1";
    static final int PIECE_BYTES = 100;

    private TestAgents() {}

    static AgentView agent(int number) {
        return agent(number, false);
    }

    static AgentView agent(int number, boolean leaving) {
        return new AgentView(
                new AgentIdentifier("agent-" + number),
                new BootIdentifier(number + 1),
                "zone-" + number % 3,
                List.of(new ServedModel(MODEL, WEIGHTS)),
                List.of("orders"),
                leaving);
    }

    static AgentGroup group(int size) {
        List<AgentView> agents = new ArrayList<>();
        for (int number = 0; number < size; number++) {
            agents.add(agent(number));
        }
        return AgentGroup.of(agents);
    }

    static PrefixChain chain(long... seeds) {
        long[] hashes = new long[seeds.length];
        for (int piece = 0; piece < seeds.length; piece++) {
            hashes[piece] = Hashes.mix(seeds[piece] + 1);
        }
        return PrefixChain.ofHashes(hashes, PIECE_BYTES, seeds.length * PIECE_BYTES);
    }

    static PlacementRequest request(AgentGroup group, PrefixChain chain) {
        return new PlacementRequest(group, Optional.of(chain), Set.of());
    }

    static Offer offer(int cachedPieces, double wait, double firstToken) {
        return new Offer(cachedPieces, wait, firstToken, 1, 0, 0);
    }
}
