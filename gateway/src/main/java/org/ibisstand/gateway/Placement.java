package org.ibisstand.gateway;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.settings.RoutedService;

/** Collects what is known of the servers of a service and asks for a choice. */
final class Placement {
    /** A report that is older says less than the entry's own count; servers answer often. */
    private static final long REPORT_MILLISECONDS = 500;

    private static final int USUAL_PACE = 100;

    private final String mZone;
    private final BackendDirectory mDirectory;
    private final ServerChoice mChoice;
    private final Clock mClock;
    private final RecentParts mParts = new RecentParts();

    Placement(String zone, BackendDirectory directory, ServerChoice choice, Clock clock) {
        mZone = zone;
        mDirectory = directory;
        mChoice = choice;
        mClock = clock;
    }

    /**
     * Where a request goes.
     *
     * @param server the backend server
     * @param source the address of the engine to fetch shared parts from, if that pays
     * @param cost the expected time until it answers, in the unit of the decision
     */
    record Place(BackendServer server, Optional<String> source, double cost) {}

    /**
     * Chooses a server.
     *
     * @param service the service that the request goes to
     * @param prompt of the request, if it has one
     * @param salt that the prompt is cached under
     * @param tried servers that are not asked again
     */
    Optional<Place> choose(
            RoutedService service, Optional<Prompt> prompt, String salt, Set<BackendServer> tried) {
        List<BackendServer> servers =
                mDirectory.servers(service.name()).stream()
                        .filter(server -> server.takesRequests() && !tried.contains(server))
                        .toList();
        if (servers.isEmpty()) {
            return Optional.empty();
        }
        return service.engine().isPresent() && prompt.isPresent()
                ? engine(service.engine().get(), prompt.get(), salt, servers)
                : plain(servers);
    }

    /** Notes that a prompt was sent, so that its shared part is expected there. */
    void sent(Prompt prompt, String salt, BackendServer server) {
        mParts.sent(salt, prompt.sharedKey(), server.name(), mClock.millis());
    }

    private Optional<Place> plain(List<BackendServer> servers) {
        long now = mClock.millis();
        List<ServerChoice.Candidate> candidates = new ArrayList<>();
        for (int index = 0; index < servers.size(); index++) {
            BackendServer server = servers.get(index);
            candidates.add(candidate(index, server, plainCost(server, now), now));
        }
        return mChoice.ofTwo(candidates).map(one -> place(servers, one));
    }

    /** The share of its slots that a server has in use, slowed by its present pace. */
    private static double plainCost(BackendServer server, long now) {
        int slots = Math.max(1, server.record().getSlots());
        double busy = server.inFlight();
        int pace = USUAL_PACE;
        Optional<ServerLoad> load = recent(server, now);
        if (load.isPresent()) {
            slots = load.get().slots();
            pace = load.get().pacePercent();
            int reported = load.get().running() + load.get().waiting();
            busy = Math.max(busy, (double) reported + server.sentSinceLoad());
        }
        return (busy + 1) / slots * pace / USUAL_PACE;
    }

    private Optional<Place> engine(
            RoutedService.Engine profile, Prompt prompt, String salt, List<BackendServer> servers) {
        long now = mClock.millis();
        String key = prompt.sharedKey();
        List<EngineCost.Engine> engines =
                servers.stream().map(server -> view(server, salt, key, now)).toList();
        int shared = prompt.sharedTokens();
        EngineCost.Shape shape =
                new EngineCost.Shape(key, shared, Math.max(0, prompt.promptTokens() - shared));
        EngineCost.Transfer transfer = new EngineCost.Transfer(0, profile.linkMegabits());
        EngineCost.Engine home = engines.get(EngineCost.home(key, engines));
        List<ServerChoice.Candidate> candidates = new ArrayList<>();
        for (int index = 0; index < servers.size(); index++) {
            double cost = EngineCost.milliseconds(engines.get(index), shape, home, transfer);
            candidates.add(candidate(index, servers.get(index), cost, now));
        }
        return mChoice.least(candidates).map(one -> place(servers, one));
    }

    private EngineCost.Engine view(BackendServer server, String salt, String key, long now) {
        Optional<ServerLoad> load = recent(server, now);
        return new EngineCost.Engine(
                server.name(),
                server.record().getZone(),
                mParts.holds(salt, key, server.name(), now),
                server.pendingTokens(),
                load.map(ServerLoad::running).orElse(server.inFlight()),
                load.map(ServerLoad::waiting).orElse(0),
                load.map(ServerLoad::pacePercent).orElse(USUAL_PACE));
    }

    private static Optional<ServerLoad> recent(BackendServer server, long now) {
        return server.load().filter(load -> now - load.atMilliseconds() < REPORT_MILLISECONDS);
    }

    private static ServerChoice.Candidate candidate(
            int index, BackendServer server, double cost, long now) {
        return new ServerChoice.Candidate(index, cost, server.failureShare(), server.isPaused(now));
    }

    private static Place place(List<BackendServer> servers, ServerChoice.Candidate one) {
        return new Place(servers.get(one.server()), Optional.empty(), one.cost());
    }
}
