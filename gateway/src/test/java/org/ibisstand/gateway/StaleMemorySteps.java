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

/** Steps of weights that change under runs, drawn from a seed; keeps what they were. */
final class StaleMemorySteps {
    private static final List<String> SHARED_PARTS = List.of("a", "a,b", "c", "d");

    private final EngineScenario mScenario;
    private final SplittableRandom mRandom;
    private final List<String> mTrace = new ArrayList<>();
    private final Map<VersionedEngine, Load> mLoads = new HashMap<>();
    private final Map<VersionedEngine, Deque<Notice>> mLateNotices = new HashMap<>();
    private long mNamed = 1;
    private int mRequests;

    StaleMemorySteps(EngineScenario scenario, SplittableRandom random) {
        mScenario = scenario;
        mRandom = random;
        for (VersionedEngine engine : scenario.engines()) {
            mLoads.put(engine, Load.NONE);
            mLateNotices.put(engine, new ArrayDeque<>());
        }
    }

    /** How far an engine is with its next weights. */
    private enum Load {
        NONE,
        PREPARED,
        BEGUN
    }

    /** What an agent says of its engine. */
    private record Notice(boolean loading, long version) {}

    /** Steps with their shares of all. */
    private enum Step {
        ASK(18),
        EVENT(34),
        PREEMPT(10),
        NAME(4),
        LOAD(14),
        LATE_NOTICE(5),
        STORE_RESTART(4),
        REFUSALS(4),
        TIME(7);

        private final int mShare;

        Step(int share) {
            mShare = share;
        }

        static Step draw(SplittableRandom random) {
            int sum = 0;
            for (Step step : values()) {
                sum += step.mShare;
            }
            int drawn = random.nextInt(sum);
            for (Step step : values()) {
                drawn -= step.mShare;
                if (drawn < 0) {
                    return step;
                }
            }
            throw new IllegalStateException("the shares add up to " + sum);
        }
    }

    /** Returns the steps that were made, one a line. */
    String trace() {
        return String.join("\n", mTrace);
    }

    void next() {
        Step step = Step.draw(mRandom);
        switch (step) {
            case ASK -> ask();
            case EVENT -> running().ifPresent(this::event);
            case PREEMPT -> running().ifPresent(this::preempt);
            case NAME -> name();
            case LOAD -> load(loading());
            case LATE_NOTICE -> lateNotice(engine());
            case STORE_RESTART -> restartStore();
            case REFUSALS -> refusals(engine());
            case TIME -> passTime();
        }
    }

    /** Ends all loads and runs. */
    void finish() {
        for (VersionedEngine engine : mScenario.engines()) {
            mScenario.releaseRefusals(engine);
            while (mLoads.get(engine) != Load.NONE) {
                load(engine);
            }
        }
        List<String> open = mScenario.open();
        while (!open.isEmpty()) {
            open.forEach(this::event);
            open = mScenario.open();
        }
    }

    private void ask() {
        mRequests++;
        String request = "r" + mRequests;
        Repetition repetition =
                mRandom.nextBoolean() ? Repetition.STREAM : Repetition.RESUMABLE_STREAM;
        String shared = SHARED_PARTS.get(mRandom.nextInt(SHARED_PARTS.size()));
        VersionedEngine engine = engine();
        note("ask " + request + " " + repetition + " " + shared + " at " + label(engine));
        mScenario.favour(engine);
        mScenario.ask(request, repetition, shared + ",own-" + request);
    }

    /** Makes an event; a move that follows may meet engines that load, or one without room. */
    private void event(String request) {
        VersionedEngine at = mScenario.fleet().engineOf(request).get();
        VersionedEngine favoured = mRandom.nextInt(4) == 0 ? engine() : refuge(at);
        boolean refusesCopies = mRandom.nextInt(6) == 0;
        List<VersionedEngine> loads = new ArrayList<>();
        if (mRandom.nextInt(4) == 0) {
            loads.add(favoured);
        }
        if (mRandom.nextInt(4) == 0 && favoured != at) {
            loads.add(at);
        }
        boolean tells = mRandom.nextBoolean();
        note(
                "event of %s at %s, %s is idle, during a move %s load, told %s, copies refused %s"
                        .formatted(
                                request,
                                label(at),
                                label(favoured),
                                loads.stream().map(this::label).toList(),
                                tells,
                                refusesCopies));
        mScenario.favour(favoured);
        at.onStopped(refusesCopies, () -> loads.forEach(engine -> loadDuringMove(engine, tells)));
        mScenario.event(request);
    }

    private void loadDuringMove(VersionedEngine engine, boolean tells) {
        if (engine.version() < mNamed && !engine.hasWaiting()) {
            engine.completeLoad(mNamed);
            mLoads.put(engine, Load.NONE);
            if (tells) {
                mLateNotices.get(engine).clear();
                mScenario.tell(engine, false, mNamed);
            }
        }
    }

    private void preempt(String request) {
        VersionedEngine at = mScenario.fleet().engineOf(request).get();
        note("preempt " + request + " at " + label(at));
        at.onStopped(false, () -> {});
        mScenario.preempt(request);
    }

    /** Names weights, unless an engine is two versions behind. */
    private void name() {
        boolean isLate =
                mScenario.engines().stream().anyMatch(engine -> engine.version() < mNamed - 1);
        if (isLate) {
            return;
        }
        mNamed++;
        note("name " + mNamed);
        mScenario.name(mNamed);
    }

    /** An agent prepares, orders, and sees the end of a load, and tells of each or does not. */
    private void load(VersionedEngine engine) {
        long version = engine.version();
        switch (mLoads.get(engine)) {
            case NONE -> {
                if (version < mNamed) {
                    note("prepare " + label(engine));
                    mLoads.put(engine, Load.PREPARED);
                    tell(engine, new Notice(true, version));
                }
            }
            case PREPARED -> {
                note("begin to load " + label(engine));
                mLoads.put(engine, Load.BEGUN);
                mScenario.beginLoad(engine);
            }
            case BEGUN -> {
                long loaded =
                        version < mNamed && mRandom.nextInt(4) == 0
                                ? mRandom.nextLong(version, mNamed) + 1
                                : mNamed;
                note("load " + loaded + " at " + label(engine));
                mLoads.put(engine, Load.NONE);
                engine.completeLoad(loaded);
                tell(engine, new Notice(false, loaded));
            }
        }
    }

    /** Notices of one agent may be lost, or late, but do not overtake each other. */
    private void tell(VersionedEngine engine, Notice notice) {
        int fate = mRandom.nextInt(10);
        if (fate == 0) {
            note("notice lost");
        } else if (fate < 5 || !mLateNotices.get(engine).isEmpty()) {
            mLateNotices.get(engine).add(notice);
        } else {
            note("notice " + notice);
            mScenario.tell(engine, notice.loading(), notice.version());
        }
    }

    private void lateNotice(VersionedEngine engine) {
        Optional.ofNullable(mLateNotices.get(engine).poll())
                .ifPresent(
                        notice -> {
                            note("late " + notice + " of " + label(engine));
                            mScenario.tell(engine, notice.loading(), notice.version());
                        });
    }

    private void restartStore() {
        note("restart the store");
        mScenario.fleet().restartStore();
    }

    private void passTime() {
        note("pauses end");
        mScenario.passTime();
    }

    private void refusals(VersionedEngine engine) {
        if (mRandom.nextInt(3) == 0) {
            note("hold refusals of " + label(engine));
            mScenario.releaseRefusals(engine);
            engine.holdRefusals();
        } else {
            note("release refusals of " + label(engine));
            mScenario.releaseRefusals(engine);
        }
    }

    /** Returns a request that runs where events are made now, often one that may be moved. */
    private Optional<String> running() {
        List<String> running =
                mScenario.open().stream()
                        .filter(
                                request ->
                                        mScenario
                                                .fleet()
                                                .engineOf(request)
                                                .filter(engine -> !engine.isLoading())
                                                .isPresent())
                        .toList();
        List<String> leaving =
                running.stream()
                        .filter(
                                request ->
                                        mLoads.get(mScenario.fleet().engineOf(request).get())
                                                == Load.PREPARED)
                        .toList();
        List<String> drawn = leaving.isEmpty() || mRandom.nextBoolean() ? running : leaving;
        return drawn.isEmpty()
                ? Optional.empty()
                : Optional.of(drawn.get(mRandom.nextInt(drawn.size())));
    }

    /** Returns another engine of the same weights, if there is one. */
    private VersionedEngine refuge(VersionedEngine from) {
        List<VersionedEngine> others =
                mScenario.engines().stream()
                        .filter(one -> one != from && one.version() == from.version())
                        .filter(one -> mLoads.get(one) == Load.NONE)
                        .toList();
        return others.isEmpty() ? engine() : others.get(mRandom.nextInt(others.size()));
    }

    /** Returns an engine that has begun with a load, or else any. */
    private VersionedEngine loading() {
        List<VersionedEngine> begun =
                mScenario.engines().stream()
                        .filter(engine -> mLoads.get(engine) != Load.NONE)
                        .toList();
        boolean isOther = begun.isEmpty() || mRandom.nextInt(3) == 0;
        return isOther ? engine() : begun.get(mRandom.nextInt(begun.size()));
    }

    private VersionedEngine engine() {
        return mScenario.engine(mRandom.nextInt(mScenario.engines().size()));
    }

    private String label(VersionedEngine engine) {
        return "engine %d with %d".formatted(mScenario.engines().indexOf(engine), engine.version());
    }

    private void note(String step) {
        mTrace.add(step);
    }
}
