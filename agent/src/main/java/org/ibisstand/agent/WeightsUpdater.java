package org.ibisstand.agent;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ibisstand.base.LogLine;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.fleet.NoticePace;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.ServerRecord;

/**
 * Keeps the engine beside this agent on the target weights versions and publishes notices of the
 * engine's state to the entries. Runs on the agent's control thread only.
 *
 * <p>A notice precedes every load order, so that entries send requests to other engines before this
 * one rejects them. Every order carries the number of orders that the engine has accepted so far,
 * so that a delayed order is not executed after a newer one. A version that is superseded before
 * the engine gets its load slot is skipped.
 */
final class WeightsUpdater {
    /** How long to wait for a response of the engine before the next status request. */
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(2);

    /** Time that a notice needs to reach all entries through a member of control. */
    private static final Duration NOTICE_PROPAGATION_TIME = Duration.ofMillis(60);

    /**
     * The maximum wait for running requests before a load. Most responses end in this time. Waiting
     * for the longest ones would keep the engine from serving new requests for several seconds
     * under load.
     */
    private static final Duration MAXIMUM_DRAIN_TIME = Duration.ofMillis(700);

    /**
     * The maximum wait for running requests that cannot be moved, since no other engine has the
     * same weights, while the engines with newer weights have spare capacity. It is half of the
     * time of the longest responses in the data sheets of the platforms, as most running requests
     * began well before the drain. At peak load the capacity of a draining engine is worth more
     * than the runs that a longer wait would save.
     */
    private static final Duration LAST_ENGINE_MAXIMUM_DRAIN_TIME = Duration.ofMillis(2_000);

    /** The longest status interval in a large fleet for an engine that has no weights to load. */
    private static final Duration MAXIMUM_STATUS_INTERVAL = Duration.ofMillis(250);

    /** Unchanged notices are repeated for entries and members of control that have restarted. */
    private static final Duration NOTICE_REPEAT_INTERVAL = Duration.ofSeconds(1);

    private final ManagedEngine mEngine;
    private final String mEngineAddress;
    private final Supplier<Address> mAgentAddress;
    private final Clock mClock;
    private final Executor mControlThread;
    private final Consumer<EngineNotice> mNoticeListener;
    private final Map<String, Long> mTargetVersions = new HashMap<>();
    private final Map<String, NavigableMap<Long, Instant>> mTargetVersionTimes = new HashMap<>();
    private final Map<String, EngineNotice> mEngineNotices = new HashMap<>();
    private List<ServerRecord> mServers = List.of();
    private Optional<EngineStatus> mStatus = Optional.empty();
    private Optional<Instant> mRequestSentAt = Optional.empty();
    private Optional<Instant> mDrainStartedAt = Optional.empty();
    private Optional<EngineNotice> mLastNotice = Optional.empty();
    private Instant mLastNoticeAt = Instant.MIN;
    private Instant mNextStatusAt = Instant.MIN;
    private long mNoticeSequence;
    private boolean mIsReachable = true;

    /**
     * Creates an updater.
     *
     * @param engine the engine to keep up to date
     * @param engineAddress host and port of the engine, which identify its record among all servers
     * @param clock a monotonic clock
     * @param controlThread the thread on which responses of the engine are processed
     * @param agentAddress the address at which entries query this agent about the engine
     * @param noticeListener receives the notices to publish
     */
    WeightsUpdater(
            ManagedEngine engine,
            String engineAddress,
            Clock clock,
            Executor controlThread,
            Supplier<Address> agentAddress,
            Consumer<EngineNotice> noticeListener) {
        mAgentAddress = agentAddress;
        mEngine = engine;
        mEngineAddress = engineAddress;
        mClock = clock;
        mControlThread = controlThread;
        mNoticeListener = noticeListener;
    }

    /** Applies the server list and the target weights versions received from control. */
    void update(FleetState state) {
        mServers = state.servers();
        mEngineNotices.keySet().retainAll(mServers.stream().map(ServerRecord::getAddress).toList());
        state.weights()
                .forEach(
                        (model, version) -> {
                            if (version > mTargetVersions.getOrDefault(model, 0L)) {
                                mTargetVersions.put(model, version);
                                mTargetVersionTimes
                                        .computeIfAbsent(model, key -> new TreeMap<>())
                                        .put(version, mClock.instant());
                                mNextStatusAt = Instant.MIN;
                                LogLine.info("weights_named")
                                        .with("model", model)
                                        .with("version", version)
                                        .write();
                            }
                        });
    }

    /** Stores the notices of other agents about their engines. */
    void updateNotices(EngineNotices notices) {
        notices.getEnginesList().forEach(notice -> mEngineNotices.put(notice.getAddress(), notice));
    }

    /** Requests the engine's status unless a response is pending or the next request is not due. */
    void tick() {
        Instant now = mClock.instant();
        boolean isWaiting =
                mRequestSentAt
                        .filter(sentAt -> sentAt.plus(REPLY_TIMEOUT).isAfter(now))
                        .isPresent();
        if (!isWaiting && !now.isBefore(mNextStatusAt)) {
            mRequestSentAt = Optional.of(now);
            mEngine.status().whenCompleteAsync(this::onStatusReply, mControlThread);
        }
    }

    private void onStatusReply(EngineStatus status, Throwable failure) {
        mRequestSentAt = Optional.empty();
        if ((failure == null) != mIsReachable) {
            mIsReachable = failure == null;
            LogLine.info(mIsReachable ? "engine_reached" : "engine_lost")
                    .with("address", mEngineAddress)
                    .with("reason", failure == null ? "" : failure.getMessage())
                    .write();
        }
        if (failure != null) {
            mDrainStartedAt = Optional.empty();
            publishNotice(
                    EngineNotice.newBuilder()
                            .setAddress(mEngineAddress)
                            .setAgent(mAgentAddress.get().toString())
                            .setUnreachable(true)
                            .build());
            return;
        }
        Optional<String> outdatedModel =
                mTargetVersions.keySet().stream()
                        .filter(model -> isLoadDue(model, status))
                        .findFirst();
        if (outdatedModel.isPresent() && mDrainStartedAt.isEmpty()) {
            mDrainStartedAt = Optional.of(mClock.instant());
        } else if (outdatedModel.isEmpty() && !status.loading()) {
            mDrainStartedAt = Optional.empty();
        }
        logLoadedWeights(status);
        mStatus = Optional.of(status);
        boolean isServing = mDrainStartedAt.isEmpty() && !status.loading();
        mNextStatusAt = isServing ? mClock.instant().plus(statusInterval()) : Instant.MIN;
        publishStatus(status);
        if (outdatedModel.isPresent() && isDrained(outdatedModel.get(), status)) {
            sendLoadOrder(outdatedModel.get(), status);
        }
    }

    private void logLoadedWeights(EngineStatus status) {
        Map<String, Long> previousWeights = mStatus.map(EngineStatus::weights).orElse(Map.of());
        status.weights()
                .forEach(
                        (model, version) -> {
                            if (!version.equals(previousWeights.get(model))) {
                                LogLine.info("weights_loaded")
                                        .with("model", model)
                                        .with("version", version)
                                        .with("running", status.running())
                                        .with("waiting", status.waiting())
                                        .write();
                            }
                        });
    }

    /**
     * Returns the interval between status requests: that of notices, since a status that is not
     * published need not be requested. A small fleet requests it at every tick.
     */
    private Duration statusInterval() {
        Duration interval = NoticePace.pause(mServers.size());
        if (interval.compareTo(NoticePace.pause(0)) <= 0) {
            return Duration.ZERO;
        }
        return interval.compareTo(MAXIMUM_STATUS_INTERVAL) < 0 ? interval : MAXIMUM_STATUS_INTERVAL;
    }

    /** Returns the last status received from the engine; empty before the first one. */
    Optional<EngineStatus> status() {
        return mStatus;
    }

    private boolean isDrained(String model, EngineStatus status) {
        if (status.loading() || mDrainStartedAt.isEmpty()) {
            return false;
        }
        Duration drainTime = Duration.between(mDrainStartedAt.get(), mClock.instant());
        boolean isIdle = status.waiting() == 0 && status.running() == 0;
        Duration maximumDrainTime =
                isLastEngineOfVersion(model, status)
                        ? LAST_ENGINE_MAXIMUM_DRAIN_TIME
                        : MAXIMUM_DRAIN_TIME;
        return (isIdle && drainTime.compareTo(NOTICE_PROPAGATION_TIME) >= 0)
                || drainTime.compareTo(maximumDrainTime) >= 0;
    }

    /**
     * Returns whether no other engine that serves now has the loaded version, so that runs cannot
     * be moved, while at least one has a newer version and all have spare capacity.
     */
    private boolean isLastEngineOfVersion(String model, EngineStatus status) {
        long loaded = status.weights().get(model);
        List<ServerRecord> servingEngines =
                enginesOfService().stream()
                        .filter(
                                engine ->
                                        !engine.getAddress().equals(mEngineAddress)
                                                && !isLoading(engine))
                        .toList();
        return servingEngines.stream().noneMatch(engine -> latestVersion(engine, model) == loaded)
                && servingEngines.stream().anyMatch(engine -> latestVersion(engine, model) > loaded)
                && servingEngines.stream().allMatch(this::hasSpareCapacity);
    }

    /** Returns whether runs use at most half of the engine's KV cache. */
    private boolean hasSpareCapacity(ServerRecord engine) {
        EngineNotice notice =
                mEngineNotices.getOrDefault(engine.getAddress(), EngineNotice.getDefaultInstance());
        return notice.getUsedTokens() * 2 <= notice.getCapacityTokens();
    }

    /** Returns all engines of this engine's service; empty while this engine is not listed. */
    private List<ServerRecord> enginesOfService() {
        Optional<String> service =
                mServers.stream()
                        .filter(server -> server.getAddress().equals(mEngineAddress))
                        .map(ServerRecord::getService)
                        .findFirst();
        return mServers.stream()
                .filter(server -> service.filter(server.getService()::equals).isPresent())
                .toList();
    }

    private void publishStatus(EngineStatus status) {
        publishNotice(
                EngineNotice.newBuilder()
                        .setAddress(mEngineAddress)
                        .setAgent(mAgentAddress.get().toString())
                        .setLoading(status.loading() || mDrainStartedAt.isPresent())
                        .putAllWeights(status.weights())
                        .setRunning(status.running())
                        .setWaiting(status.waiting())
                        .setUsedTokens(status.usedTokens())
                        .setCapacityTokens(status.capacityTokens())
                        .build());
    }

    private void publishNotice(EngineNotice notice) {
        Instant now = mClock.instant();
        boolean isUnchanged = mLastNotice.filter(notice::equals).isPresent();
        boolean isUrgent =
                mLastNotice.filter(last -> last.getLoading() == notice.getLoading()).isEmpty();
        Duration interval =
                isUnchanged ? NOTICE_REPEAT_INTERVAL : NoticePace.pause(mServers.size());
        if (!isUrgent && mLastNoticeAt.plus(interval).isAfter(now)) {
            return;
        }
        mLastNotice = Optional.of(notice);
        mLastNoticeAt = now;
        mNoticeSequence++;
        mNoticeListener.accept(notice.toBuilder().setSequence(mNoticeSequence).build());
    }

    private boolean isLoadDue(String model, EngineStatus status) {
        Long loaded = status.weights().get(model);
        if (loaded == null || loaded >= mTargetVersions.get(model)) {
            return false;
        }
        Optional<ServerRecord> self =
                mServers.stream()
                        .filter(server -> server.getAddress().equals(mEngineAddress))
                        .findFirst();
        if (self.isEmpty()) {
            return true;
        }
        List<LoadSlotPolicy.Engine> engines =
                enginesOfService().stream()
                        .map(
                                server ->
                                        new LoadSlotPolicy.Engine(
                                                server.getServer(),
                                                latestVersion(server, model),
                                                isLoading(server)))
                        .toList();
        Instant outdatedSince = mTargetVersionTimes.get(model).higherEntry(loaded).getValue();
        return LoadSlotPolicy.mayLoadNow(
                self.get().getServer(),
                engines,
                mTargetVersions.get(model),
                Duration.between(outdatedSince, mClock.instant()));
    }

    private boolean isLoading(ServerRecord engine) {
        return mEngineNotices
                .getOrDefault(engine.getAddress(), EngineNotice.getDefaultInstance())
                .getLoading();
    }

    /**
     * Returns the newer of two reports: agents announce new weights before the server list does.
     */
    private long latestVersion(ServerRecord engine, String model) {
        EngineNotice notice =
                mEngineNotices.getOrDefault(engine.getAddress(), EngineNotice.getDefaultInstance());
        long announced = notice.getWeightsOrDefault(model, 0);
        return Math.max(announced, engine.getWeightsOrDefault(model, 0));
    }

    private void sendLoadOrder(String model, EngineStatus status) {
        long version = mTargetVersions.get(model);
        mRequestSentAt = Optional.of(mClock.instant());
        boolean drainsFirst = status.running() == 0;
        mEngine.load(model, version, drainsFirst, status.sequence())
                .whenCompleteAsync(
                        (accepted, failure) -> onLoadReply(model, status, accepted, failure),
                        mControlThread);
    }

    private void onLoadReply(
            String model, EngineStatus statusBefore, Boolean accepted, Throwable failure) {
        mRequestSentAt = Optional.empty();
        LogLine.info("weights_ordered")
                .with("model", model)
                .with("version", mTargetVersions.get(model))
                .with("running", statusBefore.running())
                .with("accepted", failure == null && accepted)
                .with("reason", failure == null ? "" : failure.getMessage())
                .write();
    }
}
