package org.ibisstand.gateway;

import java.util.List;
import java.util.Optional;
import org.ibisstand.settings.RoutedService.CacheStore;

/**
 * The stores of KV cache that a configuration lists.
 *
 * @param stores the stores, in the order of the configuration
 */
record CacheStores(List<CacheStore> stores) {
    /** Copies the list, which makes the record immutable. */
    CacheStores {
        stores = List.copyOf(stores);
    }

    static CacheStores none() {
        return new CacheStores(List.of());
    }

    /**
     * Returns the store that engines of an availability zone use: the first one of the zone, or the
     * first of all if the zone has none. A transfer between zones takes twice as long, and a store
     * for each zone spreads the load over the links of all stores.
     */
    Optional<CacheStore> forZone(String zone) {
        return stores.stream()
                .filter(store -> store.zone().equals(zone))
                .findFirst()
                .or(() -> stores.stream().findFirst());
    }
}
