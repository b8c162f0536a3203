package org.ibisstand.gateway;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.ibisstand.gateway.Placement.Place;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.settings.RoutedService.CacheStore;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.PartAnswer;

/** Collects what is known of the engines of a service, asks a few agents, and chooses. */
final class PromptPlacement {
    private static final int USUAL_PACE = 100;

    /** Shorter shared parts are read faster than their transfer is arranged. */
    private static final int LEAST_FETCHED_TOKENS = 500;

    /** Agents of the first homes of a shared part, and of the engines that seem cheapest. */
    private static final int ASKED_HOMES = 2;

    /** One of these is nearly always chosen. */
    private static final int ASKED_CHEAPEST = 3;

    /** Answers of older weights lose worth from this age of the newer ones on. */
    private static final long FRESH_WEIGHTS_MILLISECONDS = 1_300;

    /** Older weights must not be used at all well before the platforms' bounds of 8 s and more. */
    private static final long LAST_USE_MILLISECONDS = 6_500;

    /** The loss on older weights, a fifth of the worth, against waiting for newer ones. */
    private static final double OLD_WEIGHTS_PENALTY_MILLISECONDS = 20;

    /** Entries see the same notices at the same time and must not all choose alike. */
    private static final double SPREAD_MILLISECONDS = 12;

    private final BackendDirectory mDirectory;
    private final ServerChoice mChoice;
    private final NamedWeights mWeights;
    private final AgentOffers mOffers;
    private final RandomGenerator mRandom;
    private final Clock mClock;
    private final RecentParts mParts = new RecentParts();

    PromptPlacement(
            BackendDirectory directory,
            ServerChoice choice,
            NamedWeights weights,
            AgentOffers offers,
            RandomGenerator random,
            Clock clock) {
        mDirectory = directory;
        mChoice = choice;
        mWeights = weights;
        mOffers = offers;
        mRandom = random;
        mClock = clock;
    }

    /**
     * What is placed.
     *
     * @param service the service that the request goes to
     * @param prompt of the request
     * @param team separates the cached prompts of isolated teams
     * @param nonce differs for each request
     * @param store keeps prompts that engines have no room for
     * @param tried servers that are not asked again
     */
    record Task(
            RoutedService service,
            Prompt prompt,
            String team,
            String nonce,
            Optional<CacheStore> store,
            Set<BackendServer> tried) {
        boolean moves() {
            return prompt.sharedTokens() >= LEAST_FETCHED_TOKENS;
        }

        /** Prompts that were read with other weights are never found. */
        CacheScope scope(BackendServer server) {
            return CacheScope.of(team, server.weights(prompt.model()), nonce);
        }
    }

    /** Chooses an engine and tells the listener, after the answers of agents for long prompts. */
    void choose(Task task, Consumer<Optional<Place>> listener) {
        List<BackendServer> servers = usable(task);
        if (servers.isEmpty()) {
            listener.accept(Optional.empty());
        } else if (task.moves()) {
            mOffers.ask(
                    asked(task, servers),
                    task.prompt().sharedParts(),
                    answers -> listener.accept(place(task, usable(task), answers)));
        } else {
            listener.accept(place(task, servers, Map.of()));
        }
    }

    /**
     * Returns an engine that can go on with a run of another one: with the weights that the run's
     * memory was made under, steady, and with room for the whole run. Many entries move runs at the
     * same moment and see the same notices, so the better of two random engines is taken.
     */
    Optional<Place> refuge(Task task, BackendServer from, CacheScope scope) {
        long now = mClock.millis();
        Prompt prompt = task.prompt();
        long needed = (long) prompt.promptTokens() + prompt.maximumOutputTokens();
        long capacity = task.service().engine().map(RoutedService.Engine::cacheTokens).orElse(0L);
        List<BackendServer> able =
                mDirectory.ready(task.service(), task.tried()).stream()
                        .filter(one -> one != from && !one.isLoading(now) && !one.isPaused(now))
                        .filter(one -> one.observedWeights(prompt.model()) == scope.weights())
                        .filter(one -> usedTokens(one, now) + needed <= capacity)
                        .toList();
        // One that no agent speaks of may be loading, and refuse the run in the end.
        List<BackendServer> steady =
                able.stream().filter(one -> one.notice(now).isPresent()).toList();
        List<BackendServer> engines = steady.isEmpty() ? able : steady;
        List<ServerChoice.Candidate> candidates = new ArrayList<>();
        for (int index = 0; index < engines.size(); index++) {
            BackendServer engine = engines.get(index);
            double busy = engine.notice(now).map(EngineNotice::getRunning).orElse(0);
            candidates.add(new ServerChoice.Candidate(index, busy, engine.failureShare(), false));
        }
        return mChoice.ofTwo(candidates)
                .map(
                        one -> {
                            BackendServer engine = engines.get(one.server());
                            return new Place(
                                    engine, Optional.empty(), Optional.empty(), scope, one.cost());
                        });
    }

    private static long usedTokens(BackendServer engine, long now) {
        return engine.notice(now).map(EngineNotice::getUsedTokens).orElse(0L);
    }

    /** Notes that a prompt was sent, so that its shared part is expected there. */
    void sent(Prompt prompt, Place place) {
        long now = mClock.millis();
        mParts.sent(place.scope().salt(), prompt.sharedKey(), place.server().name(), now);
        if (place.target().isPresent()) {
            mParts.saved(place.scope().salt(), prompt.sharedKey(), now);
        }
    }

    /** Leaves out engines that load weights, or whose weights are too old to be used. */
    private List<BackendServer> usable(Task task) {
        long now = mClock.millis();
        String model = task.prompt().model();
        List<BackendServer> allowed =
                mDirectory.ready(task.service(), task.tried()).stream()
                        .filter(server -> outdated(server, model, now) < LAST_USE_MILLISECONDS)
                        .toList();
        List<BackendServer> steady =
                allowed.stream().filter(server -> !server.isLoading(now)).toList();
        return steady.isEmpty() ? allowed : steady;
    }

    private long outdated(BackendServer server, String model, long now) {
        return mWeights.outdatedMilliseconds(model, server.weights(model), now);
    }

    /** Returns the salts of the prompt at the agents to ask. */
    private Map<String, String> asked(Task task, List<BackendServer> servers) {
        List<EngineCost.Engine> engines = views(task, servers, Map.of());
        EngineCost.Transfer none = new EngineCost.Transfer(0, 1, "");
        Map<EngineCost.Engine, BackendServer> byView = new IdentityHashMap<>();
        for (int index = 0; index < servers.size(); index++) {
            byView.put(engines.get(index), servers.get(index));
        }
        Set<EngineCost.Engine> chosen = Collections.newSetFromMap(new IdentityHashMap<>());
        EngineCost.homes(task.prompt().sharedKey(), engines).stream()
                .limit(ASKED_HOMES)
                .forEach(chosen::add);
        chosen.addAll(EngineCost.cheapest(engines, shape(task), none, ASKED_CHEAPEST));
        Map<String, String> salts = new HashMap<>();
        long now = mClock.millis();
        for (EngineCost.Engine engine : chosen) {
            BackendServer server = byView.get(engine);
            server.notice(now)
                    .map(EngineNotice::getAgent)
                    .filter(agent -> !agent.isEmpty())
                    .ifPresent(agent -> salts.put(agent, task.scope(server).salt()));
        }
        return salts;
    }

    private Optional<Place> place(
            Task task, List<BackendServer> servers, Map<String, PartAnswer> answers) {
        if (servers.isEmpty()) {
            return Optional.empty();
        }
        long now = mClock.millis();
        List<EngineCost.Engine> engines = views(task, servers, answers);
        EngineCost.Transfer transfer = transfer(task, engines);
        EngineCost.Shape shape = shape(task);
        List<ServerChoice.Candidate> candidates = new ArrayList<>();
        for (int index = 0; index < servers.size(); index++) {
            BackendServer server = servers.get(index);
            double cost = EngineCost.milliseconds(engines.get(index), shape, transfer);
            candidates.add(
                    new ServerChoice.Candidate(
                            index,
                            cost + mRandom.nextDouble() * SPREAD_MILLISECONDS,
                            server.failureShare(),
                            server.isPaused(now)));
        }
        return mChoice.least(candidates).map(one -> place(task, servers, engines, one));
    }

    private Place place(
            Task task,
            List<BackendServer> servers,
            List<EngineCost.Engine> engines,
            ServerChoice.Candidate chosen) {
        BackendServer server = servers.get(chosen.server());
        CacheScope scope = task.scope(server);
        boolean moves = task.moves() && scope.isShared() && isNewest(task, servers, scope);
        Optional<String> kept =
                task.store().filter(store -> moves).map(store -> store.address().toString());
        boolean lacks = engines.get(chosen.server()).heldTokens() < task.prompt().sharedTokens();
        Optional<String> source =
                moves && lacks
                        ? peer(task, servers, engines, chosen.server()).or(() -> kept)
                        : kept;
        return new Place(
                server, source, kept.filter(store -> isUnsaved(task, scope)), scope, chosen.cost());
    }

    /**
     * A run that goes on under newer weights, and is preempted, reads its parts again and caches
     * them under the salt of its older ones. So parts of older weights stay where they were made.
     */
    private boolean isNewest(Task task, List<BackendServer> servers, CacheScope scope) {
        String model = task.prompt().model();
        return scope.weights() >= mWeights.newest(model)
                && servers.stream().allMatch(one -> one.observedWeights(model) <= scope.weights());
    }

    /** The link of the store is shared by all engines: what it has is not sent again. */
    private boolean isUnsaved(Task task, CacheScope scope) {
        return mParts.isUnsaved(scope.salt(), task.prompt().sharedKey(), mClock.millis());
    }

    /** Returns the engine that holds most, if that is all; links of engines are the fastest. */
    private Optional<String> peer(
            Task task, List<BackendServer> servers, List<EngineCost.Engine> engines, int chosen) {
        CacheScope scope = task.scope(servers.get(chosen));
        long now = mClock.millis();
        for (int index = 0; index < servers.size(); index++) {
            boolean holdsAll = engines.get(index).heldTokens() >= task.prompt().sharedTokens();
            BackendServer server = servers.get(index);
            boolean isUsable = index != chosen && !server.isPaused(now);
            if (holdsAll
                    && isUsable
                    && server.isSteady(task.prompt().model(), scope.weights(), now)) {
                return Optional.of(server.record().getAddress());
            }
        }
        return Optional.empty();
    }

    private static EngineCost.Shape shape(Task task) {
        Prompt prompt = task.prompt();
        int shared = prompt.sharedTokens();
        int own = Math.max(0, prompt.promptTokens() - shared);
        return new EngineCost.Shape(prompt.sharedKey(), shared, own, prompt.maximumOutputTokens());
    }

    /** Missing parts come from an engine that holds them all, or else from the store. */
    private static EngineCost.Transfer transfer(Task task, List<EngineCost.Engine> engines) {
        if (!task.moves()) {
            return new EngineCost.Transfer(0, 1, "");
        }
        RoutedService.Engine profile = task.service().engine().orElseThrow();
        Optional<EngineCost.Engine> holder =
                engines.stream()
                        .filter(one -> one.heldTokens() >= task.prompt().sharedTokens())
                        .findFirst();
        if (holder.isPresent() && profile.linkMegabits() > 0) {
            return new EngineCost.Transfer(
                    profile.bytesPerToken(), profile.linkMegabits(), holder.get().zone());
        }
        return task.store()
                .filter(store -> store.linkMegabits() > 0)
                .map(
                        store ->
                                new EngineCost.Transfer(
                                        profile.bytesPerToken(),
                                        store.linkMegabits(),
                                        store.zone()))
                .orElseGet(() -> new EngineCost.Transfer(0, 1, ""));
    }

    private List<EngineCost.Engine> views(
            Task task, List<BackendServer> servers, Map<String, PartAnswer> answers) {
        long now = mClock.millis();
        return servers.stream()
                .map(
                        server ->
                                view(
                                        task,
                                        server,
                                        server.notice(now)
                                                .map(notice -> answers.get(notice.getAgent())),
                                        now))
                .toList();
    }

    private EngineCost.Engine view(
            Task task, BackendServer server, Optional<PartAnswer> answer, long now) {
        Prompt prompt = task.prompt();
        Optional<ServerLoad> load = Placement.recentLoad(server, now);
        Optional<EngineNotice> notice = server.notice(now);
        int running =
                answer.map(PartAnswer::getRunning)
                        .or(() -> notice.map(EngineNotice::getRunning))
                        .or(() -> load.map(ServerLoad::running))
                        .orElse(server.inFlight());
        int waiting =
                answer.map(PartAnswer::getWaiting)
                        .or(() -> notice.map(EngineNotice::getWaiting))
                        .or(() -> load.map(ServerLoad::waiting))
                        .orElse(0);
        long used =
                answer.map(PartAnswer::getUsedTokens)
                        .or(() -> notice.map(EngineNotice::getUsedTokens))
                        .orElse(0L);
        boolean isOld = outdated(server, prompt.model(), now) > FRESH_WEIGHTS_MILLISECONDS;
        return new EngineCost.Engine(
                server.name(),
                server.record().getZone(),
                heldTokens(task, server, answer, now),
                server.pendingTokens(),
                running,
                waiting,
                load.map(ServerLoad::pacePercent).orElse(USUAL_PACE),
                task.service().engine().orElseThrow().cacheTokens() - used,
                isOld ? OLD_WEIGHTS_PENALTY_MILLISECONDS : 0);
    }

    /** The agent knows what its engine holds; without its answer, what was sent there counts. */
    private int heldTokens(Task task, BackendServer server, Optional<PartAnswer> answer, long now) {
        Prompt prompt = task.prompt();
        if (answer.isPresent()) {
            return prompt.tokensOf(answer.get().getHeldParts());
        }
        boolean wasSent =
                mParts.holds(task.scope(server).salt(), prompt.sharedKey(), server.name(), now);
        return wasSent ? prompt.sharedTokens() : 0;
    }
}
