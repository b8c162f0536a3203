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
import org.ibisstand.base.LogLine;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.fleet.NoticePace;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.ServerRecord;

/**
 * Brings the engine beside this agent to the newest named weights, and tells entries how the engine
 * is; on the agent's control thread.
 *
 * <p>Entries are told before an order, so that requests go elsewhere instead of being refused.
 * Every order builds on the number of orders that the engine has accepted, so that a delayed one is
 * not carried out after a newer one. Weights that are overtaken before their turn are skipped.
 */
final class WeightsKeeper {
    /** The longest wait for an engine's answer before it is asked again. */
    private static final Duration PATIENCE = Duration.ofSeconds(2);

    /** The way of a notice to all entries, through a member of control. */
    private static final Duration NOTICE_TIME = Duration.ofMillis(60);

    /**
     * The longest wait for requests that run. Most answers end in this time; while an engine waits
     * for its longest ones it serves nobody else, for several seconds under load.
     */
    private static final Duration RUNNING_TIME = Duration.ofMillis(700);

    /**
     * The same where no other engine can take the runs over, and those with newer weights have room
     * to spare: half of the longest answers of the platforms' sheets, as most began long before. At
     * a crest an engine that waits is missed more than the runs that it would save.
     */
    private static final Duration LAST_RUNNING_TIME = Duration.ofMillis(2_000);

    /** Between questions to an engine of a large fleet that has no weights to load. */
    private static final Duration LONGEST_STATUS_PAUSE = Duration.ofMillis(250);

    /** Notices are repeated for entries and members that have restarted. */
    private static final Duration REPETITION = Duration.ofSeconds(1);

    private final ManagedEngine mOffice;
    private final String mAddress;
    private final String mAgent;
    private final Clock mClock;
    private final Executor mControlThread;
    private final Consumer<EngineNotice> mNotices;
    private final Map<String, Long> mNamed = new HashMap<>();
    private final Map<String, NavigableMap<Long, Instant>> mNamedAt = new HashMap<>();
    private final Map<String, EngineNotice> mOthers = new HashMap<>();
    private List<ServerRecord> mServers = List.of();
    private Optional<EngineStatus> mStatus = Optional.empty();
    private Optional<Instant> mAskedAt = Optional.empty();
    private Optional<Instant> mPreparedAt = Optional.empty();
    private Optional<EngineNotice> mTold = Optional.empty();
    private Instant mToldAt = Instant.MIN;
    private Instant mNextStatus = Instant.MIN;
    private long mSequence;
    private boolean mIsReachable = true;

    /**
     * Creates a keeper.
     *
     * @param office speaks to the engine
     * @param address where the engine takes requests, which tells its record from others
     * @param clock must not jump
     * @param controlThread the thread of this keeper
     * @param agent where this agent answers questions about the engine
     * @param notices receives what entries should know of the engine
     */
    WeightsKeeper(
            ManagedEngine office,
            String address,
            Clock clock,
            Executor controlThread,
            String agent,
            Consumer<EngineNotice> notices) {
        mAgent = agent;
        mOffice = office;
        mAddress = address;
        mClock = clock;
        mControlThread = controlThread;
        mNotices = notices;
    }

    /** Takes what control tells. */
    void update(FleetState state) {
        mServers = state.servers();
        mOthers.keySet().retainAll(mServers.stream().map(ServerRecord::getAddress).toList());
        state.weights()
                .forEach(
                        (model, version) -> {
                            if (version > mNamed.getOrDefault(model, 0L)) {
                                mNamed.put(model, version);
                                mNamedAt.computeIfAbsent(model, one -> new TreeMap<>())
                                        .put(version, mClock.instant());
                                mNextStatus = Instant.MIN;
                                LogLine.info("weights_named")
                                        .with("model", model)
                                        .with("version", version)
                                        .write();
                            }
                        });
    }

    /** Takes what other agents say of their engines. */
    void noticed(EngineNotices notices) {
        notices.getEnginesList().forEach(notice -> mOthers.put(notice.getAddress(), notice));
    }

    /** Asks the engine for its status, unless an answer is still due. */
    void tick() {
        Instant now = mClock.instant();
        boolean isWaiting = mAskedAt.filter(at -> at.plus(PATIENCE).isAfter(now)).isPresent();
        if (!isWaiting && !now.isBefore(mNextStatus)) {
            mAskedAt = Optional.of(now);
            mOffice.status().whenCompleteAsync(this::answered, mControlThread);
        }
    }

    private void answered(EngineStatus status, Throwable failure) {
        mAskedAt = Optional.empty();
        if ((failure == null) != mIsReachable) {
            mIsReachable = failure == null;
            LogLine.info(mIsReachable ? "engine_reached" : "engine_lost")
                    .with("address", mAddress)
                    .with("reason", failure == null ? "" : failure.getMessage())
                    .write();
        }
        if (failure != null) {
            mPreparedAt = Optional.empty();
            tell(
                    EngineNotice.newBuilder()
                            .setAddress(mAddress)
                            .setAgent(mAgent)
                            .setUnreachable(true)
                            .build());
            return;
        }
        Optional<String> due =
                mNamed.keySet().stream().filter(model -> isDue(model, status)).findFirst();
        if (due.isPresent() && mPreparedAt.isEmpty()) {
            mPreparedAt = Optional.of(mClock.instant());
        } else if (due.isEmpty() && !status.loading()) {
            mPreparedAt = Optional.empty();
        }
        logLoaded(status);
        mStatus = Optional.of(status);
        boolean isSteady = mPreparedAt.isEmpty() && !status.loading();
        mNextStatus = isSteady ? mClock.instant().plus(statusPause()) : Instant.MIN;
        tell(status);
        if (due.isPresent() && isPrepared(due.get(), status)) {
            order(due.get(), status);
        }
    }

    private void logLoaded(EngineStatus status) {
        Map<String, Long> before = mStatus.map(EngineStatus::weights).orElse(Map.of());
        status.weights()
                .forEach(
                        (model, version) -> {
                            if (!version.equals(before.get(model))) {
                                LogLine.info("weights_loaded")
                                        .with("model", model)
                                        .with("version", version)
                                        .with("running", status.running())
                                        .with("waiting", status.waiting())
                                        .write();
                            }
                        });
    }

    /** What is told less often need not be asked more often; a small fleet asks at every tick. */
    private Duration statusPause() {
        Duration pause = NoticePace.pause(mServers.size());
        if (pause.compareTo(NoticePace.pause(0)) <= 0) {
            return Duration.ZERO;
        }
        return pause.compareTo(LONGEST_STATUS_PAUSE) < 0 ? pause : LONGEST_STATUS_PAUSE;
    }

    /** Returns the last status of the engine. */
    Optional<EngineStatus> status() {
        return mStatus;
    }

    private boolean isPrepared(String model, EngineStatus status) {
        if (status.loading() || mPreparedAt.isEmpty()) {
            return false;
        }
        Duration since = Duration.between(mPreparedAt.get(), mClock.instant());
        boolean isEmpty = status.waiting() == 0 && status.running() == 0;
        Duration longest = isLast(model, status) ? LAST_RUNNING_TIME : RUNNING_TIME;
        return (isEmpty && since.compareTo(NOTICE_TIME) >= 0) || since.compareTo(longest) >= 0;
    }

    /** Returns whether others serve newer weights with ease and none could go on with the runs. */
    private boolean isLast(String model, EngineStatus status) {
        long loaded = status.weights().get(model);
        List<ServerRecord> steady =
                engines().stream()
                        .filter(one -> !one.getAddress().equals(mAddress) && !isLoading(one))
                        .toList();
        return steady.stream().noneMatch(one -> versionOf(one, model) == loaded)
                && steady.stream().anyMatch(one -> versionOf(one, model) > loaded)
                && steady.stream().allMatch(this::hasRoom);
    }

    /** Returns whether less than half of an engine's memory is held by its runs. */
    private boolean hasRoom(ServerRecord engine) {
        EngineNotice notice =
                mOthers.getOrDefault(engine.getAddress(), EngineNotice.getDefaultInstance());
        return notice.getUsedTokens() * 2 <= notice.getCapacityTokens();
    }

    /** Returns the engines of the service; empty while this one is not listed. */
    private List<ServerRecord> engines() {
        Optional<String> service =
                mServers.stream()
                        .filter(one -> one.getAddress().equals(mAddress))
                        .map(ServerRecord::getService)
                        .findFirst();
        return mServers.stream()
                .filter(one -> service.filter(one.getService()::equals).isPresent())
                .toList();
    }

    private void tell(EngineStatus status) {
        tell(
                EngineNotice.newBuilder()
                        .setAddress(mAddress)
                        .setAgent(mAgent)
                        .setLoading(status.loading() || mPreparedAt.isPresent())
                        .putAllWeights(status.weights())
                        .setRunning(status.running())
                        .setWaiting(status.waiting())
                        .setUsedTokens(status.usedTokens())
                        .setCapacityTokens(status.capacityTokens())
                        .build());
    }

    private void tell(EngineNotice notice) {
        Instant now = mClock.instant();
        boolean isSame = mTold.filter(notice::equals).isPresent();
        boolean isUrgent = mTold.filter(told -> told.getLoading() == notice.getLoading()).isEmpty();
        Duration pause = isSame ? REPETITION : NoticePace.pause(mServers.size());
        if (!isUrgent && mToldAt.plus(pause).isAfter(now)) {
            return;
        }
        mTold = Optional.of(notice);
        mToldAt = now;
        mSequence++;
        mNotices.accept(notice.toBuilder().setSequence(mSequence).build());
    }

    private boolean isDue(String model, EngineStatus status) {
        Long loaded = status.weights().get(model);
        if (loaded == null || loaded >= mNamed.get(model)) {
            return false;
        }
        Optional<ServerRecord> self =
                mServers.stream().filter(one -> one.getAddress().equals(mAddress)).findFirst();
        if (self.isEmpty()) {
            return true;
        }
        List<LoadTurn.Engine> others =
                engines().stream()
                        .map(
                                one ->
                                        new LoadTurn.Engine(
                                                one.getServer(),
                                                versionOf(one, model),
                                                isLoading(one)))
                        .toList();
        Instant lackingSince = mNamedAt.get(model).higherEntry(loaded).getValue();
        return LoadTurn.isNow(
                self.get().getServer(),
                others,
                mNamed.get(model),
                Duration.between(lackingSince, mClock.instant()));
    }

    private boolean isLoading(ServerRecord engine) {
        return mOthers.getOrDefault(engine.getAddress(), EngineNotice.getDefaultInstance())
                .getLoading();
    }

    /** Other agents tell of their engines sooner than the engines do. */
    private long versionOf(ServerRecord engine, String model) {
        EngineNotice notice =
                mOthers.getOrDefault(engine.getAddress(), EngineNotice.getDefaultInstance());
        long told = notice.getWeightsOrDefault(model, 0);
        return Math.max(told, engine.getWeightsOrDefault(model, 0));
    }

    private void order(String model, EngineStatus status) {
        long version = mNamed.get(model);
        mAskedAt = Optional.of(mClock.instant());
        boolean waits = status.running() == 0;
        mOffice.load(model, version, waits, status.sequence())
                .whenCompleteAsync(
                        (accepted, failure) -> ordered(model, status, accepted, failure),
                        mControlThread);
    }

    private void ordered(String model, EngineStatus before, Boolean accepted, Throwable failure) {
        mAskedAt = Optional.empty();
        LogLine.info("weights_ordered")
                .with("model", model)
                .with("version", mNamed.get(model))
                .with("running", before.running())
                .with("accepted", failure == null && accepted)
                .with("reason", failure == null ? "" : failure.getMessage())
                .write();
    }
}
