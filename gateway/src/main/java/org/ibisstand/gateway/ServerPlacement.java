package org.ibisstand.gateway;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.settings.RoutedService;

/** Chooses the backend server for a request without a prompt. */
final class ServerPlacement {
    /** Older reports are less accurate than the gateway's count; servers report frequently. */
    private static final long MAXIMUM_REPORT_AGE_MILLISECONDS = 500;

    private static final int NORMAL_SLOWDOWN_PERCENT = 100;

    private final BackendDirectory mDirectory;
    private final ServerSelector mSelector;
    private final Clock mClock;

    ServerPlacement(BackendDirectory directory, ServerSelector selector, Clock clock) {
        mDirectory = directory;
        mSelector = selector;
        mClock = clock;
    }

    /**
     * The server that a request is sent to, and the KV cache that it may use there.
     *
     * @param server the backend server
     * @param cacheSource the address of the engine or store to fetch the prefix from, if that saves
     *     time
     * @param cacheTarget the address of the store that saves the prefix afterwards
     * @param scope the scope of the KV cache that the request may use
     * @param cost the predicted time to the response, in the unit of the method that chose
     * @param prefillTokens the tokens that the server computes before the first event, if nothing
     *     is known to delay it; otherwise zero
     */
    record Destination(
            BackendServer server,
            Optional<String> cacheSource,
            Optional<String> cacheTarget,
            CacheScope scope,
            double cost,
            int prefillTokens) {
        /** Creates a destination whose prefill is not measured. */
        Destination(
                BackendServer server,
                Optional<String> cacheSource,
                Optional<String> cacheTarget,
                CacheScope scope,
                double cost) {
            this(server, cacheSource, cacheTarget, scope, cost, 0);
        }
    }

    /**
     * Chooses a server for a request without a prompt.
     *
     * @param service the service that the request goes to
     * @param excluded servers that must not be chosen
     */
    Optional<Destination> choose(RoutedService service, Set<BackendServer> excluded) {
        long now = mClock.millis();
        List<BackendServer> servers = mDirectory.available(service, excluded, now);
        List<ServerSelector.Candidate> candidates = new ArrayList<>();
        for (int index = 0; index < servers.size(); index++) {
            BackendServer server = servers.get(index);
            candidates.add(
                    new ServerSelector.Candidate(
                            index,
                            cost(server, now),
                            server.failureShare(),
                            server.isBackingOff(now)));
        }
        return mSelector
                .powerOfTwoChoices(candidates)
                .map(candidate -> withoutCache(servers.get(candidate.index()), candidate.cost()));
    }

    /** Returns the load that a server last reported, if the report is recent. */
    static Optional<ServerLoad> recentLoad(BackendServer server, long now) {
        return server.load()
                .filter(
                        load ->
                                now - load.receivedAtMilliseconds()
                                        < MAXIMUM_REPORT_AGE_MILLISECONDS);
    }

    private static Destination withoutCache(BackendServer server, double cost) {
        return new Destination(server, Optional.empty(), Optional.empty(), CacheScope.NONE, cost);
    }

    /** Returns the share of its slots that a server would have in use, times its slowdown. */
    private static double cost(BackendServer server, long now) {
        int slots = Math.max(1, server.record().getSlots());
        double inUse = server.inFlight();
        int slowdown = NORMAL_SLOWDOWN_PERCENT;
        Optional<ServerLoad> load = recentLoad(server, now);
        if (load.isPresent()) {
            slots = load.get().slots();
            slowdown = load.get().slowdownPercent();
            int reported = load.get().running() + load.get().waiting();
            inUse = Math.max(inUse, (double) reported + server.sentSinceLoadReport());
        }
        return (inUse + 1) / slots * slowdown / NORMAL_SLOWDOWN_PERCENT;
    }
}
