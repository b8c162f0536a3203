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
import org.ibisstand.base.LoggedTask;
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

    /** Runs have this long to be moved or to end before any is reset. */
    private static final Duration MINIMUM_DRAIN_TIME = Duration.ofMillis(700);

    /**
     * The maximum wait for runs that cannot be moved, while the other engines have spare capacity;
     * then they are reset. An engine that waited for its longest runs would serve no new requests
     * for many seconds under load.
     */
    private static final Duration MAXIMUM_DRAIN_TIME = Duration.ofMillis(5_000);

    /**
     * How long an engine may have outdated weights because of runs that cannot be moved. Below the
     * platforms' limits of 11 s and up for a load at all engines, by the time of a load.
     */
    private static final Duration MAXIMUM_OUTDATED_TIME = Duration.ofMillis(8_000);

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
            mEngine.status()
                    .whenCompleteAsync(
                            (status, failure) ->
                                    LoggedTask.of(
                                                    "engine_status",
                                                    () -> onStatusReply(status, failure))
                                            .run(),
                            mControlThread);
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
        if (outdatedModel.isEmpty() || status.loading()) {
            mDrainStartedAt = Optional.empty();
        } else if (mDrainStartedAt.isEmpty()) {
            mDrainStartedAt = Optional.of(mClock.instant());
        }
        logLoadedWeights(status);
        mStatus = Optional.of(status);
        boolean isServing = mDrainStartedAt.isEmpty() && !status.loading();
        mNextStatusAt = isServing ? mClock.instant().plus(statusInterval()) : Instant.MIN;
        publishStatus(status);
        outdatedModel.ifPresent(
                model ->
                        runHandling(model, status)
                                .ifPresent(handling -> sendLoadOrder(model, handling, status)));
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

    /** Returns what a load order does to the runs of the engine; empty while the drain goes on. */
    private Optional<RunHandling> runHandling(String model, EngineStatus status) {
        if (status.loading() || mDrainStartedAt.isEmpty()) {
            return Optional.empty();
        }
        Instant now = mClock.instant();
        Duration drainTime = Duration.between(mDrainStartedAt.get(), now);
        if (drainTime.compareTo(NOTICE_PROPAGATION_TIME) < 0) {
            return Optional.empty();
        }
        if (status.waiting() == 0 && status.running() == 0) {
            return Optional.of(RunHandling.FINISH_FIRST);
        }
        if (drainTime.compareTo(MINIMUM_DRAIN_TIME) < 0) {
            return Optional.empty();
        }
        boolean isOutdatedTooLong =
                outdatedTime(model, status).compareTo(MAXIMUM_OUTDATED_TIME) >= 0;
        boolean isDrainedTooLong =
                drainTime.compareTo(MAXIMUM_DRAIN_TIME) >= 0
                        && !isLastEngineOfVersion(model, status);
        return isOutdatedTooLong || isDrainedTooLong || !haveOthersSpareCapacity()
                ? Optional.of(RunHandling.RESET)
                : Optional.empty();
    }

    /** Returns whether the engines that serve now have room for the requests of this one. */
    private boolean haveOthersSpareCapacity() {
        return otherServingEngines().stream().allMatch(this::hasSpareCapacity);
    }

    private List<ServerRecord> otherServingEngines() {
        return enginesOfService().stream()
                .filter(engine -> !engine.getAddress().equals(mEngineAddress) && !isLoading(engine))
                .toList();
    }

    /**
     * Returns whether no other engine that serves now has the loaded version, so that runs cannot
     * be moved, while at least one has a newer version.
     */
    private boolean isLastEngineOfVersion(String model, EngineStatus status) {
        long loaded = status.weights().get(model);
        List<ServerRecord> servingEngines = otherServingEngines();
        return servingEngines.stream().noneMatch(engine -> latestVersion(engine, model) == loaded)
                && servingEngines.stream()
                        .anyMatch(engine -> latestVersion(engine, model) > loaded);
    }

    /** Returns whether runs use at most half of the engine's KV cache. */
    private boolean hasSpareCapacity(ServerRecord engine) {
        EngineNotice notice =
                mEngineNotices.getOrDefault(engine.getAddress(), EngineNotice.getDefaultInstance());
        return notice.getUsedTokens() * 2 <= notice.getCapacityTokens();
    }

    /** Returns the time since the first version that the engine has not loaded was announced. */
    private Duration outdatedTime(String model, EngineStatus status) {
        long loaded = status.weights().get(model);
        return Duration.between(
                mTargetVersionTimes.get(model).higherEntry(loaded).getValue(), mClock.instant());
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
        return LoadSlotPolicy.mayLoadNow(
                self.get().getServer(),
                engines,
                mTargetVersions.get(model),
                outdatedTime(model, status));
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

    private void sendLoadOrder(String model, RunHandling runHandling, EngineStatus status) {
        long version = mTargetVersions.get(model);
        mRequestSentAt = Optional.of(mClock.instant());
        mEngine.load(model, version, runHandling, status.sequence())
                .whenCompleteAsync(
                        (accepted, failure) ->
                                onLoadReply(model, runHandling, status, accepted, failure),
                        mControlThread);
    }

    private void onLoadReply(
            String model,
            RunHandling runHandling,
            EngineStatus statusBefore,
            Boolean accepted,
            Throwable failure) {
        mRequestSentAt = Optional.empty();
        LogLine.info("weights_ordered")
                .with("model", model)
                .with("version", mTargetVersions.get(model))
                .with("running", statusBefore.running())
                .with("runs", runHandling)
                .with("accepted", failure == null && accepted)
                .with("reason", failure == null ? "" : failure.getMessage())
                .write();
    }
}
