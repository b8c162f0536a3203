package org.ibisstand.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.gateway.EngineHarness.InformedGateway;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;

/**
 * Random requests to gateways that know different news, while agents bring engines to the newest
 * weights. News and orders are late or lost, engines and the store restart, and runs are preempted
 * at any time.
 */
final class OrderedLoadWorkload {
    /** Every so many requests begin with a prefix that no engine has cached. */
    private static final int REQUESTS_PER_PREFIX = 10;

    private static final int MAXIMUM_GATEWAYS = 5;

    /** Of ten notices to a gateway, how many are lost. */
    private static final int LOST_NOTICES = 1;

    /** More than the runs of all requests need; only a fault of the model takes longer. */
    private static final int MAXIMUM_FINISHING_STEPS = 200;

    private final EngineHarness mHarness;
    private final SplittableRandom mRandom;
    private final List<String> mTrace = new ArrayList<>();
    private final List<EngineAgent> mAgents = new ArrayList<>();
    private final List<FleetState> mFormerStates = new ArrayList<>();
    private final Map<InformedGateway, Deque<EngineNotice>> mLateNotices = new HashMap<>();
    private final Map<InformedGateway, Boolean> mHearsNothing = new HashMap<>();
    private final Map<LoadMode, Integer> mLoads = new EnumMap<>(LoadMode.class);
    private long mNamedVersion = 1;
    private int mRequestCount;
    private int mRestartCount;
    private int mPreemptionCount;

    OrderedLoadWorkload(EngineHarness harness, SplittableRandom random) {
        mHarness = harness;
        mRandom = random;
        harness.fleet().delayPrefill();
        for (VersionedEngine engine : harness.engines()) {
            mAgents.add(new EngineAgent(harness, engine, this::sendNotices));
        }
        mFormerStates.add(harness.currentFleetState(mNamedVersion));
        mAgents.forEach(agent -> agent.update(mFormerStates.getFirst()));
        addGateway(harness.firstGateway());
        harness.startCacheLookups();
        addGateway(harness.startGateway(mFormerStates.getFirst()));
    }

    /** Actions by their relative frequency. */
    private enum Action {
        SEND_REQUEST(26),
        SEND_EVENT(40),
        PREEMPT(16),
        NAME_VERSION(6),
        ADVANCE_TIME(24),
        COMPLETE_LOAD(14),
        DELIVER_LATE_NOTICE(8),
        UPDATE_GATEWAY(6),
        UPDATE_AGENT(6),
        SILENCE_MEMBER_OF_CONTROL(1),
        START_GATEWAY(1),
        RESTART_ENGINE(1),
        CHANGE_DELIVERY(5),
        DELIVER_LATE_ORDER(4),
        RESTART_STORE(3),
        EVICT_CACHED_PARTS(10);

        private final int mShare;

        Action(int share) {
            mShare = share;
        }

        static Action draw(SplittableRandom random) {
            int sum = 0;
            for (Action action : values()) {
                sum += action.mShare;
            }
            int drawn = random.nextInt(sum);
            for (Action action : values()) {
                drawn -= action.mShare;
                if (drawn < 0) {
                    return action;
                }
            }
            throw new IllegalStateException("drawn number exceeds the sum of the shares, " + sum);
        }
    }

    /** Returns the actions so far, one a line. */
    String trace() {
        return String.join("\n", mTrace);
    }

    /** Returns how much happened, to tell a test that plays little from one that passes. */
    String summary() {
        return "loads %s, %d parts fetched, %d preemptions, %d engine restarts, %d gateways"
                .formatted(
                        mLoads,
                        mHarness.fleet().fetchedParts(),
                        mPreemptionCount,
                        mRestartCount,
                        mHarness.gateways().size());
    }

    int loadCount() {
        return mLoads.values().stream().mapToInt(Integer::intValue).sum();
    }

    void runNext() {
        switch (Action.draw(mRandom)) {
            case SEND_REQUEST -> sendRequest();
            case SEND_EVENT -> randomRunningRequest().ifPresent(this::sendEvent);
            case PREEMPT -> randomRequestToPreempt().ifPresent(this::preempt);
            case NAME_VERSION -> nameVersion();
            case ADVANCE_TIME -> advanceTime();
            case COMPLETE_LOAD -> completeLoad(randomLoadingAgent());
            case DELIVER_LATE_NOTICE -> deliverLateNotice(randomGateway());
            case UPDATE_GATEWAY -> updateGateway(randomGateway());
            case UPDATE_AGENT -> updateAgent(randomAgent());
            case SILENCE_MEMBER_OF_CONTROL -> silenceOrHeal(randomGateway());
            case START_GATEWAY -> startGateway();
            case RESTART_ENGINE -> restartEngine(randomAgent());
            case CHANGE_DELIVERY -> changeDelivery(randomAgent());
            case DELIVER_LATE_ORDER -> deliverLateOrder(randomAgent());
            case RESTART_STORE -> restartStore();
            case EVICT_CACHED_PARTS -> evictCachedParts(randomEngineToEvictFrom());
        }
    }

    /** Ends all loads and runs. */
    void finish() {
        List<String> open = mHarness.openRequests();
        for (int step = 0; !open.isEmpty(); step++) {
            if (step > MAXIMUM_FINISHING_STEPS) {
                throw new IllegalStateException("requests do not end: " + open + "\n" + trace());
            }
            mAgents.forEach(this::completeLoad);
            runningRequests().forEach(this::sendEvent);
            open = mHarness.openRequests();
        }
    }

    private void sendRequest() {
        mRequestCount++;
        String request = "r" + mRequestCount;
        Repetition repetition =
                mRandom.nextBoolean() ? Repetition.STREAM : Repetition.RESUMABLE_STREAM;
        String sharedParts = randomPrefix();
        VersionedEngine engine = randomAgent().engine();
        InformedGateway gateway = randomRequestedGateway();
        addToTrace(
                "send %s %s %s at %s by %s"
                        .formatted(
                                request, repetition, sharedParts, label(engine), label(gateway)));
        mHarness.preferEngine(engine);
        mHarness.sendRequest(gateway, request, repetition, sharedParts + ",own-" + request);
    }

    /** Returns one of the two newest prefixes, with one shared part or two. */
    private String randomPrefix() {
        int prefix = Math.max(0, mRequestCount / REQUESTS_PER_PREFIX - mRandom.nextInt(2));
        return mRandom.nextBoolean() ? "a" + prefix : "a" + prefix + ",b" + prefix;
    }

    /** Sends the next event of a run; its gateway may move it if the engine is to load weights. */
    private void sendEvent(String request) {
        Optional<VersionedEngine> runningAt = mHarness.fleet().engineOf(request);
        if (runningAt.isEmpty()) {
            return;
        }
        VersionedEngine source = runningAt.get();
        VersionedEngine preferred = randomAgent().engine();
        boolean rejectsCopies = mRandom.nextInt(6) == 0;
        addToTrace(
                "event of %s at %s, idle: %s, copies rejected: %s"
                        .formatted(request, label(source), label(preferred), rejectsCopies));
        mHarness.preferEngine(preferred);
        source.onStopped(rejectsCopies, () -> {});
        mHarness.sendEvent(request);
    }

    /** Preempts a run, mostly without an event by which its gateway would hear of the weights. */
    private void preempt(String request) {
        VersionedEngine engine = mHarness.fleet().engineOf(request).get();
        boolean sendsEvent = mRandom.nextInt(4) == 0;
        addToTrace("preempt %s at %s, event: %s".formatted(request, label(engine), sendsEvent));
        mPreemptionCount++;
        engine.recompute(request);
        if (sendsEvent) {
            engine.onStopped(false, () -> {});
            mHarness.sendEvent(request);
        }
    }

    /** Names the next version, unless an engine is two or more versions behind. */
    private void nameVersion() {
        if (mHarness.engines().stream().allMatch(engine -> engine.version() >= mNamedVersion - 1)) {
            mNamedVersion++;
            mFormerStates.add(mHarness.currentFleetState(mNamedVersion));
            addToTrace("named version " + mNamedVersion);
        }
    }

    private void advanceTime() {
        addToTrace("advance time");
        for (int steps = mRandom.nextInt(1, 5); steps > 0; steps--) {
            if (!mHarness.advancePastBackoff()) {
                runningRequests().forEach(this::sendEvent);
            }
            mAgents.forEach(EngineAgent::tick);
        }
    }

    private void completeLoad(EngineAgent agent) {
        Optional<LoadMode> mode = agent.acceptedMode();
        if (agent.completeLoad()) {
            mLoads.merge(mode.get(), 1, Integer::sum);
            addToTrace("loaded at %s, %s".formatted(label(agent.engine()), mode.get()));
        }
    }

    /** Sends a notice to other agents and to gateways, where it may be late or lost. */
    private void sendNotices(EngineNotice notice) {
        mAgents.forEach(
                agent ->
                        agent.updateNotices(EngineNotices.newBuilder().addEngines(notice).build()));
        for (InformedGateway gateway : mHarness.gateways()) {
            int drawn = mRandom.nextInt(10);
            Deque<EngineNotice> late = mLateNotices.get(gateway);
            if (mHearsNothing.get(gateway) || drawn >= LOST_NOTICES) {
                late.add(notice);
            }
            if (!mHearsNothing.get(gateway) && drawn > 4) {
                while (!late.isEmpty()) {
                    deliver(gateway, late.poll());
                }
            }
        }
    }

    private void deliverLateNotice(InformedGateway gateway) {
        if (!mHearsNothing.get(gateway)) {
            Optional.ofNullable(mLateNotices.get(gateway).poll())
                    .ifPresent(notice -> deliver(gateway, notice));
        }
    }

    private void deliver(InformedGateway gateway, EngineNotice notice) {
        VersionedEngine engine =
                mHarness.engines().stream()
                        .filter(candidate -> candidate.address().equals(notice.getAddress()))
                        .findFirst()
                        .get();
        gateway.sendNotice(
                engine, notice.getLoading(), notice.getWeightsOrThrow(EngineHarness.MODEL));
    }

    private void updateGateway(InformedGateway gateway) {
        if (!mHearsNothing.get(gateway)) {
            addToTrace("update " + label(gateway));
            gateway.update(mHarness.currentFleetState(mNamedVersion));
        }
    }

    private void updateAgent(EngineAgent agent) {
        addToTrace("update agent of " + label(agent.engine()));
        agent.update(mHarness.currentFleetState(mNamedVersion));
    }

    private void silenceOrHeal(InformedGateway gateway) {
        boolean hearsNothing = !mHearsNothing.get(gateway);
        mHearsNothing.put(gateway, hearsNothing);
        addToTrace(label(gateway) + (hearsNothing ? " hears nothing" : " hears news"));
    }

    /** Starts a gateway that knows a state from before any of the named versions, or the newest. */
    private void startGateway() {
        if (mHarness.gateways().size() < MAXIMUM_GATEWAYS) {
            int age = mRandom.nextInt(mFormerStates.size());
            addGateway(mHarness.startGateway(mFormerStates.get(age)));
            addToTrace("start " + label(mHarness.gateways().getLast()) + " with state " + age);
        }
    }

    private void addGateway(InformedGateway gateway) {
        mLateNotices.put(gateway, new ArrayDeque<>());
        mHearsNothing.put(gateway, mHearsNothing.size() % 2 == 1);
    }

    /** Restarts an engine under its name, as announced late, or under a new one. */
    private void restartEngine(EngineAgent agent) {
        mRestartCount++;
        String former = agent.engine().serverName();
        String name = mRandom.nextInt(3) > 0 ? former : "restarted-" + mRestartCount;
        addToTrace("restart %s as %s".formatted(label(agent.engine()), name));
        agent.restartEngine(name);
    }

    private void changeDelivery(EngineAgent agent) {
        EngineAgent.Delivery[] deliveries = EngineAgent.Delivery.values();
        EngineAgent.Delivery delivery = deliveries[mRandom.nextInt(deliveries.length)];
        addToTrace("orders to %s: %s".formatted(label(agent.engine()), delivery));
        agent.setDelivery(delivery);
    }

    private void deliverLateOrder(EngineAgent agent) {
        agent.deliverLateOrder()
                .ifPresent(
                        version ->
                                addToTrace(
                                        "late order of version %d accepted at %s"
                                                .formatted(version, label(agent.engine()))));
    }

    private void restartStore() {
        addToTrace("restart the store");
        mHarness.fleet().restartStore();
    }

    /** Returns an engine with the oldest weights, or any. */
    private VersionedEngine randomEngineToEvictFrom() {
        return mRandom.nextInt(4) == 0
                ? randomAgent().engine()
                : mHarness.engines().stream()
                        .min(Comparator.comparingLong(VersionedEngine::version))
                        .get();
    }

    private void evictCachedParts(VersionedEngine engine) {
        addToTrace("evict the parts at " + label(engine));
        engine.evictCachedParts();
    }

    private List<String> runningRequests() {
        return mHarness.openRequests().stream()
                .filter(request -> mHarness.fleet().engineOf(request).isPresent())
                .toList();
    }

    private Optional<String> randomRunningRequest() {
        List<String> running = runningRequests();
        if (running.isEmpty()) {
            return Optional.empty();
        }
        // Half of the events go to one run, so that runs end and time can advance.
        int index = mRandom.nextBoolean() ? 0 : mRandom.nextInt(running.size());
        return Optional.of(running.get(index));
    }

    /** Returns a running request, often one at an engine with the newest loaded weights. */
    private Optional<String> randomRequestToPreempt() {
        long newest =
                mHarness.engines().stream().mapToLong(VersionedEngine::version).max().getAsLong();
        Optional<String> drawn = randomRunningRequest();
        for (int tries = 0; tries < 4 && versionAt(drawn) < newest; tries++) {
            drawn = randomRunningRequest();
        }
        return drawn;
    }

    private long versionAt(Optional<String> request) {
        return request.flatMap(mHarness.fleet()::engineOf).map(VersionedEngine::version).orElse(0L);
    }

    private EngineAgent randomAgent() {
        return mAgents.get(mRandom.nextInt(mAgents.size()));
    }

    /** Returns an agent whose engine carries out an order, or else any agent. */
    private EngineAgent randomLoadingAgent() {
        List<EngineAgent> loading =
                mAgents.stream().filter(agent -> agent.acceptedMode().isPresent()).toList();
        return loading.isEmpty() ? randomAgent() : loading.get(mRandom.nextInt(loading.size()));
    }

    /** Returns any gateway, or often one that hears nothing. */
    private InformedGateway randomRequestedGateway() {
        List<InformedGateway> unaware =
                mHarness.gateways().stream().filter(mHearsNothing::get).toList();
        return unaware.isEmpty() || mRandom.nextInt(3) == 0
                ? randomGateway()
                : unaware.get(mRandom.nextInt(unaware.size()));
    }

    private InformedGateway randomGateway() {
        return mHarness.gateways().get(mRandom.nextInt(mHarness.gateways().size()));
    }

    private String label(VersionedEngine engine) {
        return "engine %d with %d".formatted(mHarness.engines().indexOf(engine), engine.version());
    }

    private String label(InformedGateway gateway) {
        return "gateway " + mHarness.gateways().indexOf(gateway);
    }

    private void addToTrace(String entry) {
        mTrace.add(entry);
    }
}
