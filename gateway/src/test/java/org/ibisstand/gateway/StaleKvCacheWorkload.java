package org.ibisstand.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ibisstand.settings.Route.Repetition;

/** Random actions that change weights during runs, drawn from a seed, with a trace of them. */
final class StaleKvCacheWorkload {
    private static final List<String> SHARED_PARTS = List.of("a", "a,b", "c", "d");

    private final EngineHarness mHarness;
    private final SplittableRandom mRandom;
    private final List<String> mTrace = new ArrayList<>();
    private final Map<VersionedEngine, LoadPhase> mLoadPhases = new HashMap<>();
    private final Map<VersionedEngine, Deque<Notice>> mLateNotices = new HashMap<>();
    private long mOrderedVersion = 1;
    private int mRequestCount;

    StaleKvCacheWorkload(EngineHarness harness, SplittableRandom random) {
        mHarness = harness;
        mRandom = random;
        for (VersionedEngine engine : harness.engines()) {
            mLoadPhases.put(engine, LoadPhase.NONE);
            mLateNotices.put(engine, new ArrayDeque<>());
        }
    }

    /** The progress of an engine's load of its next weights. */
    private enum LoadPhase {
        NONE,
        PREPARED,
        STARTED
    }

    /** What an agent reports of its engine. */
    private record Notice(boolean loading, long version) {}

    /** Actions by their relative frequency. */
    private enum Action {
        SEND_REQUEST(18),
        SEND_EVENT(34),
        PREEMPT(10),
        RAISE_ORDERED_VERSION(4),
        ADVANCE_LOAD(14),
        DELIVER_LATE_NOTICE(5),
        RESTART_STORE(4),
        CHANGE_REFUSAL_DELAY(4),
        ADVANCE_TIME(7);

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

    void runNext() {
        Action action = Action.draw(mRandom);
        switch (action) {
            case SEND_REQUEST -> sendRequest();
            case SEND_EVENT -> randomRunningRequest().ifPresent(this::sendEvent);
            case PREEMPT -> randomRunningRequest().ifPresent(this::preempt);
            case RAISE_ORDERED_VERSION -> raiseOrderedVersion();
            case ADVANCE_LOAD -> advanceLoad(randomLoadingEngine());
            case DELIVER_LATE_NOTICE -> deliverLateNotice(randomEngine());
            case RESTART_STORE -> restartStore();
            case CHANGE_REFUSAL_DELAY -> changeRefusalDelay(randomEngine());
            case ADVANCE_TIME -> advanceTime();
        }
    }

    /** Ends all loads and runs. */
    void finish() {
        for (VersionedEngine engine : mHarness.engines()) {
            mHarness.sendDelayedRefusals(engine);
            while (mLoadPhases.get(engine) != LoadPhase.NONE) {
                advanceLoad(engine);
            }
        }
        List<String> open = mHarness.openRequests();
        while (!open.isEmpty()) {
            open.forEach(this::sendEvent);
            open = mHarness.openRequests();
        }
    }

    private void sendRequest() {
        mRequestCount++;
        String request = "r" + mRequestCount;
        Repetition repetition =
                mRandom.nextBoolean() ? Repetition.STREAM : Repetition.RESUMABLE_STREAM;
        String sharedParts = SHARED_PARTS.get(mRandom.nextInt(SHARED_PARTS.size()));
        VersionedEngine engine = randomEngine();
        addToTrace(
                "send " + request + " " + repetition + " " + sharedParts + " at " + label(engine));
        mHarness.preferEngine(engine);
        mHarness.sendRequest(request, repetition, sharedParts + ",own-" + request);
    }

    /**
     * Sends the next event of a run. During a move that follows, engines may load weights, and the
     * target may reject the copy for lack of room.
     */
    private void sendEvent(String request) {
        VersionedEngine source = mHarness.fleet().engineOf(request).get();
        VersionedEngine preferred =
                mRandom.nextInt(4) == 0 ? randomEngine() : randomMoveTarget(source);
        boolean rejectsCopies = mRandom.nextInt(6) == 0;
        List<VersionedEngine> loadingDuringMove = new ArrayList<>();
        if (mRandom.nextInt(4) == 0) {
            loadingDuringMove.add(preferred);
        }
        if (mRandom.nextInt(4) == 0 && preferred != source) {
            loadingDuringMove.add(source);
        }
        boolean sendsNotices = mRandom.nextBoolean();
        addToTrace(
                "event of %s at %s, idle: %s, loads in move: %s, notices: %s, copies rejected: %s"
                        .formatted(
                                request,
                                label(source),
                                label(preferred),
                                loadingDuringMove.stream().map(this::label).toList(),
                                sendsNotices,
                                rejectsCopies));
        mHarness.preferEngine(preferred);
        source.onStopped(
                rejectsCopies,
                () -> loadingDuringMove.forEach(engine -> loadDuringMove(engine, sendsNotices)));
        mHarness.sendEvent(request);
    }

    private void loadDuringMove(VersionedEngine engine, boolean sendsNotice) {
        if (engine.version() < mOrderedVersion && !engine.hasQueued()) {
            engine.completeLoad(mOrderedVersion, LoadMode.RUNS_CONTINUE);
            mLoadPhases.put(engine, LoadPhase.NONE);
            if (sendsNotice) {
                mLateNotices.get(engine).clear();
                mHarness.sendNotice(engine, false, mOrderedVersion);
            }
        }
    }

    private void preempt(String request) {
        VersionedEngine engine = mHarness.fleet().engineOf(request).get();
        addToTrace("preempt " + request + " at " + label(engine));
        engine.onStopped(false, () -> {});
        mHarness.preempt(request);
    }

    /** Raises the ordered version, unless an engine is two or more versions behind. */
    private void raiseOrderedVersion() {
        boolean isBehind =
                mHarness.engines().stream()
                        .anyMatch(engine -> engine.version() < mOrderedVersion - 1);
        if (isBehind) {
            return;
        }
        mOrderedVersion++;
        addToTrace("ordered version " + mOrderedVersion);
        mHarness.setOrderedVersion(mOrderedVersion);
    }

    /**
     * Advances the load at an engine: its agent prepares it and sends a notice, orders it, and
     * sends another when it has ended.
     */
    private void advanceLoad(VersionedEngine engine) {
        long version = engine.version();
        switch (mLoadPhases.get(engine)) {
            case NONE -> {
                if (version < mOrderedVersion) {
                    addToTrace("prepare load of " + label(engine));
                    mLoadPhases.put(engine, LoadPhase.PREPARED);
                    sendOrDelayNotice(engine, new Notice(true, version));
                }
            }
            case PREPARED -> {
                addToTrace("start load of " + label(engine));
                mLoadPhases.put(engine, LoadPhase.STARTED);
                mHarness.beginLoad(engine);
            }
            case STARTED -> {
                long loadedVersion =
                        version < mOrderedVersion && mRandom.nextInt(4) == 0
                                ? mRandom.nextLong(version, mOrderedVersion) + 1
                                : mOrderedVersion;
                addToTrace("load " + loadedVersion + " at " + label(engine));
                mLoadPhases.put(engine, LoadPhase.NONE);
                engine.completeLoad(loadedVersion, LoadMode.RUNS_CONTINUE);
                sendOrDelayNotice(engine, new Notice(false, loadedVersion));
            }
        }
    }

    /** Sends, delays or loses a notice; the notices of one agent stay in order. */
    private void sendOrDelayNotice(VersionedEngine engine, Notice notice) {
        int drawn = mRandom.nextInt(10);
        if (drawn == 0) {
            addToTrace("notice lost");
        } else if (drawn < 5 || !mLateNotices.get(engine).isEmpty()) {
            mLateNotices.get(engine).add(notice);
        } else {
            addToTrace("notice " + notice);
            mHarness.sendNotice(engine, notice.loading(), notice.version());
        }
    }

    private void deliverLateNotice(VersionedEngine engine) {
        Optional.ofNullable(mLateNotices.get(engine).poll())
                .ifPresent(
                        notice -> {
                            addToTrace("late notice " + notice + " of " + label(engine));
                            mHarness.sendNotice(engine, notice.loading(), notice.version());
                        });
    }

    private void restartStore() {
        addToTrace("restart the store");
        mHarness.fleet().restartStore();
    }

    private void advanceTime() {
        addToTrace("advance past backoff");
        mHarness.advancePastBackoff();
    }

    private void changeRefusalDelay(VersionedEngine engine) {
        if (mRandom.nextInt(3) == 0) {
            addToTrace("delay refusals of " + label(engine));
            mHarness.sendDelayedRefusals(engine);
            engine.delayRefusals();
        } else {
            addToTrace("send delayed refusals of " + label(engine));
            mHarness.sendDelayedRefusals(engine);
        }
    }

    /** Returns a request whose engine can send events, often one that is about to be moved. */
    private Optional<String> randomRunningRequest() {
        List<String> running =
                mHarness.openRequests().stream()
                        .filter(
                                request ->
                                        mHarness.fleet()
                                                .engineOf(request)
                                                .filter(engine -> !engine.isLoading())
                                                .isPresent())
                        .toList();
        List<String> aboutToMove =
                running.stream()
                        .filter(
                                request ->
                                        mLoadPhases.get(mHarness.fleet().engineOf(request).get())
                                                == LoadPhase.PREPARED)
                        .toList();
        List<String> candidates =
                aboutToMove.isEmpty() || mRandom.nextBoolean() ? running : aboutToMove;
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(mRandom.nextInt(candidates.size())));
    }

    /** Returns another engine with the same weights that does not load, or else any engine. */
    private VersionedEngine randomMoveTarget(VersionedEngine source) {
        List<VersionedEngine> others =
                mHarness.engines().stream()
                        .filter(engine -> engine != source && engine.version() == source.version())
                        .filter(engine -> mLoadPhases.get(engine) == LoadPhase.NONE)
                        .toList();
        return others.isEmpty() ? randomEngine() : others.get(mRandom.nextInt(others.size()));
    }

    /** Returns an engine whose load is prepared or started, or else any engine. */
    private VersionedEngine randomLoadingEngine() {
        List<VersionedEngine> loading =
                mHarness.engines().stream()
                        .filter(engine -> mLoadPhases.get(engine) != LoadPhase.NONE)
                        .toList();
        boolean isOther = loading.isEmpty() || mRandom.nextInt(3) == 0;
        return isOther ? randomEngine() : loading.get(mRandom.nextInt(loading.size()));
    }

    private VersionedEngine randomEngine() {
        return mHarness.engine(mRandom.nextInt(mHarness.engines().size()));
    }

    private String label(VersionedEngine engine) {
        return "engine %d with %d".formatted(mHarness.engines().indexOf(engine), engine.version());
    }

    private void addToTrace(String entry) {
        mTrace.add(entry);
    }
}
