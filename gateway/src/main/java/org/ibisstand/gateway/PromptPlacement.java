package org.ibisstand.gateway;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.ibisstand.gateway.ServerPlacement.Destination;
import org.ibisstand.routing.overload.EngineForecast;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.PartAnswer;

/**
 * Chooses the engine for a request with a prompt, by the predicted time to the first event. Uses
 * the reported load of engines, this gateway's own recent requests and, for long shared prefixes,
 * the replies of a few agents about what their engines cache.
 */
final class PromptPlacement {
    /** The slowdown of engines that report none. */
    private static final int NORMAL_SLOWDOWN_PERCENT = 100;

    /** Recomputing a shorter prefix takes less time than setting up its transfer. */
    private static final int MINIMUM_TRANSFER_TOKENS = 500;

    /** How many engines to query of those that rendezvous hashing ranks first for the prefix. */
    private static final int QUERIED_BY_RENDEZVOUS_RANK = 2;

    /** How many engines of the lowest cost to query; one of them is nearly always chosen. */
    private static final int QUERIED_BY_COST = 3;

    /** Responses made with older weights lose value once newer ones are known for this long. */
    private static final long STALE_WEIGHTS_GRACE_MILLISECONDS = 1_300;

    /** Older weights are not used beyond this, well below the platforms' limits of 8 s and up. */
    private static final long MAXIMUM_STALENESS_MILLISECONDS = 6_500;

    /** Weighs the loss of a fifth of a response's value against waiting for newer weights. */
    private static final double STALE_WEIGHTS_PENALTY_MILLISECONDS = 20;

    /** Gateways get the same notices at the same time and must not all choose the same engine. */
    private static final double COST_JITTER_MILLISECONDS = 12;

    private final BackendDirectory mDirectory;
    private final ServerSelector mSelector;
    private final WeightsHistory mWeightsHistory;
    private final AgentCacheLookup mCacheLookup;
    private final ServiceRates mServiceRates;
    private final RandomGenerator mRandom;
    private final Clock mClock;
    private final PrefixHistory mPrefixHistory = new PrefixHistory();
    private final EngineAffinity mAffinity = new EngineAffinity();

    PromptPlacement(
            BackendDirectory directory,
            ServerSelector selector,
            WeightsHistory weightsHistory,
            AgentCacheLookup cacheLookup,
            ServiceRates serviceRates,
            RandomGenerator random,
            Clock clock) {
        mDirectory = directory;
        mSelector = selector;
        mWeightsHistory = weightsHistory;
        mCacheLookup = cacheLookup;
        mServiceRates = serviceRates;
        mRandom = random;
        mClock = clock;
    }

    /**
     * A request to place.
     *
     * @param service the service that the request goes to
     * @param prompt the prompt of the request
     * @param cacheGroup separates the cached prompts of isolated teams
     * @param nonce a value that differs for each request
     * @param cacheStores the stores for cached prompts that engines have no room for
     * @param excluded servers that must not be chosen
     */
    record PlacementRequest(
            RoutedService service,
            Prompt prompt,
            String cacheGroup,
            String nonce,
            CacheStores cacheStores,
            Set<BackendServer> excluded) {
        boolean canTransferCache() {
            return prompt.prefixTokens() >= MINIMUM_TRANSFER_TOKENS;
        }

        /** Returns the cache scope at a server; it never matches prompts of other weights. */
        CacheScope scope(BackendServer server) {
            String model = prompt.model();
            return CacheScope.of(cacheGroup, model, server.expectedWeights(model), nonce);
        }
    }

    /**
     * Chooses an engine and passes it to the listener. For long shared prefixes this waits for the
     * replies of agents.
     */
    void choose(PlacementRequest request, Consumer<Optional<Destination>> listener) {
        List<BackendServer> servers = usableServers(request);
        if (servers.isEmpty()) {
            listener.accept(Optional.empty());
        } else if (request.canTransferCache()) {
            mCacheLookup.lookUp(
                    agentsToQuery(request, servers),
                    request.prompt().prefixParts(),
                    replies ->
                            listener.accept(
                                    selectDestination(request, usableServers(request), replies)));
        } else {
            listener.accept(selectDestination(request, servers, Map.of()));
        }
    }

    /**
     * Returns what is known about the engines that may serve a request, without asking agents;
     * empty if none may.
     *
     * @param request the request
     * @param gateways the number of gateways, which share engines that report nothing
     */
    Optional<EngineForecast> forecast(PlacementRequest request, int gateways) {
        long now = mClock.millis();
        List<BackendServer> servers = usableServers(request);
        if (servers.isEmpty()) {
            return mDirectory.isAtConnectionLimit(request.service(), now)
                    ? Optional.of(new EngineForecast(0, 0, OptionalLong.empty()))
                    : Optional.empty();
        }
        List<BackendServer> healthy =
                servers.stream().filter(server -> !server.isBackingOff(now)).toList();
        List<BackendServer> considered = healthy.isEmpty() ? servers : healthy;
        List<BackendServer> reported =
                considered.stream().filter(server -> server.notice(now).isPresent()).toList();
        List<EngineCost.EngineState> engines =
                engineStates(request, reported.isEmpty() ? considered : reported, Map.of());
        CacheTransfers transfers = CacheTransfers.of(request, engines);
        EngineCost.PromptSize size = promptSize(request);
        Prompt prompt = request.prompt();
        long needed = (long) prompt.promptTokens() + prompt.maximumOutputTokens();
        RoutedService.Engine settings = request.service().engine().orElseThrow();
        return Optional.of(
                new EngineForecast(
                        engines.stream()
                                .mapToDouble(
                                        engine ->
                                                EngineCost.predictMilliseconds(
                                                        engine, size, transfers.to(engine)))
                                .min()
                                .orElseThrow(),
                        considered.stream()
                                .mapToInt(server -> server.room(settings, needed, gateways, now))
                                .sum(),
                        reported.stream()
                                .mapToLong(server -> server.noticeAgeMilliseconds(now))
                                .min()));
    }

    /**
     * Returns an engine that a run can move to: one that has the weights that the run's KV cache
     * was computed with, loads no others, and has memory for the whole run. Many gateways move runs
     * at the same moment on the same notices, so this takes the better of two random engines.
     */
    Optional<Destination> chooseMoveTarget(
            PlacementRequest request, BackendServer source, CacheScope scope) {
        long now = mClock.millis();
        Prompt prompt = request.prompt();
        List<BackendServer> eligible =
                mDirectory.available(request.service(), request.excluded(), now).stream()
                        .filter(
                                candidate ->
                                        candidate != source
                                                && !candidate.isLoading(now)
                                                && !candidate.isBackingOff(now))
                        .filter(
                                candidate ->
                                        candidate.observedWeights(prompt.model())
                                                == scope.weights())
                        .filter(candidate -> hasMemory(request, candidate, now))
                        .toList();
        // An engine without a recent notice may be loading weights and would reject the run.
        List<BackendServer> reported =
                eligible.stream().filter(candidate -> candidate.notice(now).isPresent()).toList();
        List<BackendServer> engines = reported.isEmpty() ? eligible : reported;
        List<ServerSelector.Candidate> candidates = new ArrayList<>();
        for (int index = 0; index < engines.size(); index++) {
            BackendServer engine = engines.get(index);
            double running = engine.notice(now).map(EngineNotice::getRunning).orElse(0);
            candidates.add(
                    new ServerSelector.Candidate(index, running, engine.failureShare(), false));
        }
        return mSelector
                .powerOfTwoChoices(candidates)
                .map(
                        candidate -> {
                            BackendServer engine = engines.get(candidate.index());
                            return new Destination(
                                    engine,
                                    Optional.empty(),
                                    Optional.empty(),
                                    scope,
                                    candidate.cost());
                        });
    }

    private static long usedTokens(BackendServer engine, long now) {
        return engine.notice(now).map(EngineNotice::getUsedTokens).orElse(0L);
    }

    /** Records that a prompt was sent to a server, which is then assumed to cache its prefix. */
    void recordSent(Prompt prompt, Destination destination) {
        long now = mClock.millis();
        mPrefixHistory.recordSent(
                destination.scope().salt(), prompt.prefixKey(), destination.server().name(), now);
        destination
                .cacheTarget()
                .ifPresent(
                        store ->
                                mPrefixHistory.recordSaved(
                                        destination.scope().salt(),
                                        prompt.prefixKey(),
                                        store,
                                        now));
    }

    /**
     * Returns the available servers whose weights are not too old to use. Those that load weights
     * are included only if there are no others.
     */
    private List<BackendServer> usableServers(PlacementRequest request) {
        long now = mClock.millis();
        String model = request.prompt().model();
        List<BackendServer> allowed =
                mDirectory.available(request.service(), request.excluded(), now).stream()
                        .filter(
                                server ->
                                        staleMilliseconds(server, model, now)
                                                < MAXIMUM_STALENESS_MILLISECONDS)
                        .toList();
        List<BackendServer> notLoading =
                allowed.stream().filter(server -> !server.isLoading(now)).toList();
        List<BackendServer> usable = notLoading.isEmpty() ? allowed : notLoading;
        List<BackendServer> finishing =
                usable.stream().filter(server -> canFinish(request, server, now)).toList();
        return finishing.isEmpty() ? usable : finishing;
    }

    /** Returns whether the run has memory at a server and can finish there without a move. */
    private boolean canFinish(PlacementRequest request, BackendServer server, long now) {
        Prompt prompt = request.prompt();
        boolean isOutdated =
                server.expectedWeights(prompt.model()) < mWeightsHistory.newest(prompt.model());
        return OutdatedWeights.canFinish(prompt.maximumOutputTokens(), isOutdated)
                && hasMemory(request, server, now);
    }

    private static boolean hasMemory(PlacementRequest request, BackendServer server, long now) {
        Prompt prompt = request.prompt();
        long needed = (long) prompt.promptTokens() + prompt.maximumOutputTokens();
        long capacity =
                request.service().engine().map(RoutedService.Engine::cacheTokens).orElse(0L);
        return usedTokens(server, now) + needed <= capacity;
    }

    private long staleMilliseconds(BackendServer server, String model, long now) {
        return mWeightsHistory.staleMilliseconds(model, server.expectedWeights(model), now);
    }

    /** Returns the agents to query, by address, each with the cache salt at its engine. */
    private Map<String, String> agentsToQuery(
            PlacementRequest request, List<BackendServer> servers) {
        List<EngineCost.EngineState> engines = engineStates(request, servers, Map.of());
        EngineCost.Transfer noTransfer = new EngineCost.Transfer(0, 1, "");
        Map<EngineCost.EngineState, BackendServer> serverByEngine = new IdentityHashMap<>();
        for (int index = 0; index < servers.size(); index++) {
            serverByEngine.put(engines.get(index), servers.get(index));
        }
        Set<EngineCost.EngineState> selected = Collections.newSetFromMap(new IdentityHashMap<>());
        EngineCost.rendezvousOrder(request.prompt().prefixKey(), engines).stream()
                .limit(QUERIED_BY_RENDEZVOUS_RANK)
                .forEach(selected::add);
        selected.addAll(
                EngineCost.cheapest(engines, promptSize(request), noTransfer, QUERIED_BY_COST));
        Map<String, String> salts = new HashMap<>();
        long now = mClock.millis();
        for (EngineCost.EngineState engine : selected) {
            BackendServer server = serverByEngine.get(engine);
            server.notice(now)
                    .map(EngineNotice::getAgent)
                    .filter(agent -> !agent.isEmpty())
                    .ifPresent(agent -> salts.put(agent, request.scope(server).salt()));
        }
        return salts;
    }

    private Optional<Destination> selectDestination(
            PlacementRequest request,
            List<BackendServer> servers,
            Map<String, PartAnswer> replies) {
        if (servers.isEmpty()) {
            return Optional.empty();
        }
        long now = mClock.millis();
        List<EngineCost.EngineState> engines = engineStates(request, servers, replies);
        if (!replies.isEmpty()) {
            mAffinity.recordLookup(
                    engines.stream()
                            .anyMatch(
                                    engine ->
                                            engine.cachedTokens()
                                                    >= request.prompt().prefixTokens()));
        }
        Optional<String> home = mAffinity.home(request, engines);
        CacheTransfers transfers = CacheTransfers.of(request, engines);
        EngineCost.PromptSize promptSize = promptSize(request);
        List<ServerSelector.Candidate> candidates = new ArrayList<>();
        for (int index = 0; index < servers.size(); index++) {
            BackendServer server = servers.get(index);
            EngineCost.EngineState engine = engines.get(index);
            double cost = EngineCost.predictMilliseconds(engine, promptSize, transfers.to(engine));
            candidates.add(
                    new ServerSelector.Candidate(
                            index,
                            cost + mRandom.nextDouble() * COST_JITTER_MILLISECONDS,
                            server.failureShare(),
                            server.isBackingOff(now)));
        }
        return mSelector
                .lowestCost(candidates)
                .map(candidate -> selectDestination(request, servers, engines, replies, candidate));
    }

    private Destination selectDestination(
            PlacementRequest request,
            List<BackendServer> servers,
            List<EngineCost.EngineState> engines,
            Map<String, PartAnswer> replies,
            ServerSelector.Candidate chosen) {
        BackendServer server = servers.get(chosen.index());
        CacheScope scope = request.scope(server);
        boolean canTransfer =
                request.canTransferCache()
                        && scope.isShareable()
                        && hasNewestWeights(request, servers, scope);
        Optional<String> storeAddress =
                request.cacheStores()
                        .forZone(server.record().getZone())
                        .filter(store -> canTransfer)
                        .map(store -> store.address().toString());
        EngineCost.EngineState engine = engines.get(chosen.index());
        boolean isPrefixMissing = engine.cachedTokens() < request.prompt().prefixTokens();
        Optional<String> source =
                canTransfer && isPrefixMissing
                        ? findPeer(request, servers, engines, chosen.index()).or(() -> storeAddress)
                        : storeAddress;
        return new Destination(
                server,
                source,
                storeAddress.filter(store -> needsSave(request, scope, store)),
                scope,
                chosen.cost(),
                ExpectedPrefill.tokens(
                        promptSize(request),
                        engine,
                        reply(server, replies, mClock.millis()).isPresent(),
                        source.isPresent()));
    }

    /**
     * Returns whether no newer weights are known than those of the scope. Prefixes of older weights
     * are not transferred: a run that continues under newer weights and is preempted recomputes its
     * prompt and caches it under the salt of the older ones.
     */
    private boolean hasNewestWeights(
            PlacementRequest request, List<BackendServer> servers, CacheScope scope) {
        String model = request.prompt().model();
        return scope.weights() >= mWeightsHistory.newest(model)
                && servers.stream()
                        .allMatch(server -> server.observedWeights(model) <= scope.weights());
    }

    /** Engines share the link of a store, so a prefix that it has is not sent again. */
    private boolean needsSave(PlacementRequest request, CacheScope scope, String store) {
        return mPrefixHistory.needsSave(
                scope.salt(), request.prompt().prefixKey(), store, mClock.millis());
    }

    /** Returns another engine that caches the whole prefix; links of engines are the fastest. */
    private Optional<String> findPeer(
            PlacementRequest request,
            List<BackendServer> servers,
            List<EngineCost.EngineState> engines,
            int chosen) {
        CacheScope scope = request.scope(servers.get(chosen));
        long now = mClock.millis();
        for (int index = 0; index < servers.size(); index++) {
            boolean cachesWholePrefix =
                    engines.get(index).cachedTokens() >= request.prompt().prefixTokens();
            BackendServer server = servers.get(index);
            boolean isUsable = index != chosen && !server.isBackingOff(now);
            if (cachesWholePrefix
                    && isUsable
                    && server.hasStableWeights(request.prompt().model(), scope.weights(), now)) {
                return Optional.of(server.record().getAddress());
            }
        }
        return Optional.empty();
    }

    private static EngineCost.PromptSize promptSize(PlacementRequest request) {
        Prompt prompt = request.prompt();
        int shared = prompt.prefixTokens();
        int unshared = Math.max(0, prompt.promptTokens() - shared);
        return new EngineCost.PromptSize(
                prompt.prefixKey(), shared, unshared, prompt.maximumOutputTokens());
    }

    private List<EngineCost.EngineState> engineStates(
            PlacementRequest request,
            List<BackendServer> servers,
            Map<String, PartAnswer> replies) {
        long now = mClock.millis();
        return servers.stream()
                .map(server -> engineState(request, server, reply(server, replies, now), now))
                .toList();
    }

    private static Optional<PartAnswer> reply(
            BackendServer server, Map<String, PartAnswer> replies, long now) {
        return server.notice(now).map(notice -> replies.get(notice.getAgent()));
    }

    private EngineCost.EngineState engineState(
            PlacementRequest request, BackendServer server, Optional<PartAnswer> reply, long now) {
        Prompt prompt = request.prompt();
        Optional<ServerLoad> load = ServerPlacement.recentLoad(server, now);
        Optional<EngineNotice> notice = server.notice(now);
        int running =
                reply.map(PartAnswer::getRunning)
                        .or(() -> notice.map(EngineNotice::getRunning))
                        .or(() -> load.map(ServerLoad::running))
                        .orElse(server.inFlight());
        int waiting =
                reply.map(PartAnswer::getWaiting)
                        .or(() -> notice.map(EngineNotice::getWaiting))
                        .or(() -> load.map(ServerLoad::waiting))
                        .orElse(0);
        long used =
                reply.map(PartAnswer::getUsedTokens)
                        .or(() -> notice.map(EngineNotice::getUsedTokens))
                        .orElse(0L);
        boolean isStale =
                staleMilliseconds(server, prompt.model(), now) > STALE_WEIGHTS_GRACE_MILLISECONDS;
        return new EngineCost.EngineState(
                server.name(),
                server.record().getZone(),
                cachedTokens(request, server, reply, now),
                server.pendingTokens(),
                running,
                waiting,
                mServiceRates.speed(
                        server,
                        load.map(ServerLoad::slowdownPercent).orElse(NORMAL_SLOWDOWN_PERCENT)),
                request.service().engine().orElseThrow().cacheTokens() - used,
                isStale ? STALE_WEIGHTS_PENALTY_MILLISECONDS : 0);
    }

    /**
     * Returns the cached prefix tokens that the agent reported. Without a reply, a prefix counts as
     * cached if this gateway recently sent it there.
     */
    private int cachedTokens(
            PlacementRequest request, BackendServer server, Optional<PartAnswer> reply, long now) {
        Prompt prompt = request.prompt();
        if (reply.isPresent()) {
            return prompt.prefixTokens(reply.get().getHeldParts());
        }
        boolean wasSent =
                mPrefixHistory.isLikelyCached(
                        request.scope(server).salt(), prompt.prefixKey(), server.name(), now);
        return wasSent ? prompt.prefixTokens() : 0;
    }
}
