package org.ibisstand.settings;

import java.util.List;
import java.util.Optional;

/**
 * A service that routes send requests to.
 *
 * @param name the name that its backend servers announce
 * @param healthPath answers whether a backend server is well
 * @param maximumConnections that a backend server accepts from all callers together
 * @param engine present if the backend servers are model engines
 * @param cacheStore present if the service keeps KV cache for others and serves no requests
 */
public record RoutedService(
        String name,
        String healthPath,
        @Range(from = 0, to = 1000000) int maximumConnections,
        Optional<Engine> engine,
        Optional<CacheStore> cacheStore) {
    /**
     * The engines of a service.
     *
     * @param slots how many requests one engine runs at once
     * @param cacheTokens the memory for running requests and cached prompts, in tokens
     * @param bytesPerToken the size of the KV cache of one token
     * @param linkMegabits the speed of the engine's link for KV cache, in megabits a second
     * @param movesRuns whether an engine hands runs over to another one
     * @param models the models that engines serve
     */
    public record Engine(
            @Range(from = 1, to = 1000000) int slots,
            @Range(from = 1, to = Long.MAX_VALUE) long cacheTokens,
            @Range(from = 0, to = Long.MAX_VALUE) long bytesPerToken,
            double linkMegabits,
            boolean movesRuns,
            List<String> models) {
        /** Copies the list, so that a profile never changes. */
        public Engine {
            models = List.copyOf(models);
        }
    }

    /**
     * A store of KV cache.
     *
     * @param address where engines reach it
     * @param zone the availability zone that it stands in
     * @param capacityTokens how much it keeps
     * @param linkMegabits the speed of its link, in megabits a second
     */
    public record CacheStore(
            Address address, String zone, long capacityTokens, double linkMegabits) {}
}
