package org.ibisstand.gateway;

import java.util.List;
import java.util.Optional;

/**
 * Prefers some engines for a prompt to others for reasons other than their load. Performs no I/O;
 * confined to the gateway's event loop.
 *
 * <p>Designed for fleets whose engines together cache fewer prefixes than are in use: a copy at any
 * engine evicts another prefix, and lookups reach only a few engines, so copies that are spread are
 * neither kept nor found. Each long prefix therefore has a home, the same at all gateways. A copy
 * elsewhere costs what the evicted tokens take to compute again, times the share of lookups that
 * find no copy.
 */
final class EngineAffinity {
    /** The share of misses changes within some tens of lookups, a few seconds of one gateway. */
    private static final double MISS_SMOOTHING = 0.02;

    /** Lookups of a smaller fleet reach most copies wherever they are. */
    private static final int MINIMUM_ENGINES = 11;

    private double mMissShare;

    /** Records whether any of the engines that were asked caches the whole prefix. */
    void recordLookup(boolean isFound) {
        mMissShare += MISS_SMOOTHING * ((isFound ? 0 : 1) - mMissShare);
    }

    /** Returns the home of a long prefix; empty in a small fleet, and for short prefixes. */
    Optional<String> home(
            PromptPlacement.PlacementRequest request, List<EngineCost.EngineState> engines) {
        if (!request.canTransferCache() || engines.size() < MINIMUM_ENGINES) {
            return Optional.empty();
        }
        return EngineCost.rendezvousOrder(request.prompt().prefixKey(), engines).stream()
                .map(EngineCost.EngineState::name)
                .findFirst();
    }

    /**
     * Returns the cost of the tokens that a copy of the prefix evicts at an engine.
     *
     * @param request the request of the prefix
     * @param engine the engine
     * @param home the home of the prefix; nothing is charged without one
     */
    double evictionMilliseconds(
            PromptPlacement.PlacementRequest request,
            EngineCost.EngineState engine,
            Optional<String> home) {
        if (home.isEmpty() || home.get().equals(engine.name())) {
            return 0;
        }
        int missing = Math.max(0, request.prompt().prefixTokens() - engine.cachedTokens());
        return mMissShare * missing / engine.speed().tokensPerMillisecond();
    }
}
