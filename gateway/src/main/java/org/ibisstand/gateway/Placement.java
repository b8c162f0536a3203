package org.ibisstand.gateway;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.settings.RoutedService;

/** Where a request goes; chooses servers of services whose requests carry no prompt. */
final class Placement {
    /** A report that is older says less than the entry's own count; servers answer often. */
    private static final long REPORT_MILLISECONDS = 500;

    private static final int USUAL_PACE = 100;

    private final BackendDirectory mDirectory;
    private final ServerChoice mChoice;
    private final Clock mClock;

    Placement(BackendDirectory directory, ServerChoice choice, Clock clock) {
        mDirectory = directory;
        mChoice = choice;
        mClock = clock;
    }

    /**
     * Where a request goes.
     *
     * @param server the backend server
     * @param source the address of the engine or store to fetch shared parts from, if that pays
     * @param target the address of the store that keeps the prompt afterwards
     * @param scope of the KV cache that the request may use there
     * @param cost the expected time until it answers, in the unit of the decision
     */
    record Place(
            BackendServer server,
            Optional<String> source,
            Optional<String> target,
            CacheScope scope,
            double cost) {}

    /**
     * Chooses a server for a request without a prompt.
     *
     * @param service the service that the request goes to
     * @param tried servers that are not asked again
     */
    Optional<Place> choose(RoutedService service, Set<BackendServer> tried) {
        List<BackendServer> servers = mDirectory.ready(service, tried);
        long now = mClock.millis();
        List<ServerChoice.Candidate> candidates = new ArrayList<>();
        for (int index = 0; index < servers.size(); index++) {
            BackendServer server = servers.get(index);
            candidates.add(
                    new ServerChoice.Candidate(
                            index, cost(server, now), server.failureShare(), server.isPaused(now)));
        }
        return mChoice.ofTwo(candidates)
                .map(one -> plainPlace(servers.get(one.server()), one.cost()));
    }

    /** Returns what a server said of its load, if that is recent. */
    static Optional<ServerLoad> recentLoad(BackendServer server, long now) {
        return server.load().filter(load -> now - load.atMilliseconds() < REPORT_MILLISECONDS);
    }

    private static Place plainPlace(BackendServer server, double cost) {
        return new Place(server, Optional.empty(), Optional.empty(), CacheScope.NONE, cost);
    }

    /** The share of its slots that a server has in use, slowed by its present pace. */
    private static double cost(BackendServer server, long now) {
        int slots = Math.max(1, server.record().getSlots());
        double busy = server.inFlight();
        int pace = USUAL_PACE;
        Optional<ServerLoad> load = recentLoad(server, now);
        if (load.isPresent()) {
            slots = load.get().slots();
            pace = load.get().pacePercent();
            int reported = load.get().running() + load.get().waiting();
            busy = Math.max(busy, (double) reported + server.sentSinceLoad());
        }
        return (busy + 1) / slots * pace / USUAL_PACE;
    }
}
