package org.ibisstand.gateway;

import java.util.List;
import java.util.Optional;
import org.ibisstand.settings.RoutedService;

/**
 * How each engine fetches the prefix of one request that it does not cache: from an engine that
 * caches the whole prefix, or else from the store of its zone. Pure computation, performs no I/O.
 */
final class CacheTransfers {
    private final PromptPlacement.PlacementRequest mRequest;
    private final Optional<EngineCost.Transfer> mFromPeer;

    private CacheTransfers(
            PromptPlacement.PlacementRequest request, Optional<EngineCost.Transfer> fromPeer) {
        mRequest = request;
        mFromPeer = fromPeer;
    }

    static CacheTransfers of(
            PromptPlacement.PlacementRequest request, List<EngineCost.EngineState> engines) {
        return new CacheTransfers(request, fromPeer(request, engines));
    }

    /** Returns the transfer to an engine; without a source, one of zero bytes per token. */
    EngineCost.Transfer to(EngineCost.EngineState engine) {
        return mFromPeer.orElseGet(() -> fromStore(mRequest, engine.zone()));
    }

    /**
     * Returns how missing parts are fetched from an engine that caches the whole prefix; empty if
     * there is none.
     */
    private static Optional<EngineCost.Transfer> fromPeer(
            PromptPlacement.PlacementRequest request, List<EngineCost.EngineState> engines) {
        RoutedService.Engine engineSettings = request.service().engine().orElseThrow();
        if (!request.canTransferCache() || engineSettings.linkMegabits() <= 0) {
            return Optional.empty();
        }
        return engines.stream()
                .filter(engine -> engine.cachedTokens() >= request.prompt().prefixTokens())
                .findFirst()
                .map(
                        peer ->
                                new EngineCost.Transfer(
                                        engineSettings.bytesPerToken(),
                                        engineSettings.linkMegabits(),
                                        peer.zone()));
    }

    /** Returns how engines of an availability zone fetch missing parts from their store. */
    private static EngineCost.Transfer fromStore(
            PromptPlacement.PlacementRequest request, String zone) {
        RoutedService.Engine engineSettings = request.service().engine().orElseThrow();
        return request.cacheStores()
                .forZone(zone)
                .filter(store -> request.canTransferCache() && store.linkMegabits() > 0)
                .map(
                        store ->
                                new EngineCost.Transfer(
                                        engineSettings.bytesPerToken(),
                                        store.linkMegabits(),
                                        store.zone()))
                .orElseGet(() -> new EngineCost.Transfer(0, 1, ""));
    }
}
