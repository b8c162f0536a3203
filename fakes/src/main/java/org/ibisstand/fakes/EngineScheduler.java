package org.ibisstand.fakes;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The batching of a fake engine: one prefill at a time by priority, answers side by side. */
final class EngineScheduler {
    private static final double NANOSECONDS_IN_MILLISECOND = 1e6;

    private final EventExecutor mExecutor;
    private final FakeEngineOptions mOptions;
    private final EngineCache mCache;
    private final Observer mObserver;
    private final List<EngineJob> mWaiting = new ArrayList<>();
    private final Set<EngineJob> mRunning = new LinkedHashSet<>();
    private EngineJob mPrefilling;
    private FakeEngineFaults mFaults = FakeEngineFaults.none();
    private long mPrefilledBytes;
    private long mHeldBytes;
    private long mCompleted;
    private long mCancelled;

    EngineScheduler(
            EventExecutor executor,
            FakeEngineOptions options,
            EngineCache cache,
            Observer observer) {
        mExecutor = executor;
        mOptions = options;
        mCache = cache;
        mObserver = observer;
    }

    void setFaults(FakeEngineFaults faults) {
        mFaults = faults;
    }

    FakeEngineFaults faults() {
        return mFaults;
    }

    Counts counts() {
        return new Counts(
                mRunning.size(),
                mWaiting.size(),
                mCompleted,
                mCancelled,
                mPrefilledBytes,
                mHeldBytes);
    }

    void submit(EngineJob job) {
        mWaiting.add(job);
        mWaiting.sort(Comparator.comparingInt(EngineJob::priority));
        startNext();
    }

    /** Ends a job whose caller is gone. */
    void cancel(EngineJob job) {
        if (job.isEnded()) {
            return;
        }
        job.end();
        mCancelled++;
        mWaiting.remove(job);
        mRunning.remove(job);
        if (mPrefilling == job) {
            mPrefilling = null;
        }
        startNext();
    }

    /** Ends all jobs without answers. */
    void abandonAll() {
        mWaiting.forEach(EngineJob::end);
        mRunning.forEach(EngineJob::end);
        mWaiting.clear();
        mRunning.clear();
        mPrefilling = null;
    }

    private void startNext() {
        if (mPrefilling != null || mWaiting.isEmpty() || mRunning.size() >= mOptions.slots()) {
            return;
        }
        EngineJob job = mWaiting.removeFirst();
        mPrefilling = job;
        mRunning.add(job);
        int held = mCache.held(job.chain());
        job.setHeldPieces(held);
        long heldBytes = (long) held * mOptions.pieceBytes();
        long missingBytes = job.chain().promptBytes() - heldBytes;
        mHeldBytes += heldBytes;
        mPrefilledBytes += missingBytes;
        schedule(
                job,
                missingBytes / mOptions.prefillBytesPerMillisecond(),
                () -> finishPrefill(job));
    }

    private void finishPrefill(EngineJob job) {
        mPrefilling = null;
        mObserver.changed(mCache.store(job.chain()));
        emit(job);
        startNext();
    }

    private void emit(EngineJob job) {
        if (job.isEnded() || mFaults.silent()) {
            return;
        }
        boolean last = job.emit();
        if (crashesNow(job)) {
            mObserver.crash();
            return;
        }
        if (last) {
            mRunning.remove(job);
            mCompleted++;
            job.complete();
            startNext();
            return;
        }
        schedule(job, mOptions.tokenMilliseconds(), () -> emit(job));
    }

    private boolean crashesNow(EngineJob job) {
        return mFaults.crashAfterTokens().filter(tokens -> tokens == job.emitted()).isPresent();
    }

    private void schedule(EngineJob job, double milliseconds, Runnable step) {
        double nanoseconds = milliseconds * mFaults.slowFactor() * NANOSECONDS_IN_MILLISECOND;
        job.setTimer(mExecutor.schedule(step, (long) nanoseconds, TimeUnit.NANOSECONDS));
    }

    /** Learns what the work does to the engine. */
    interface Observer {
        void changed(EngineCache.Change change);

        void crash();
    }

    /**
     * What the engine has done since its start.
     *
     * @param running requests that run
     * @param waiting requests that wait
     * @param completed requests that were answered whole
     * @param cancelled requests whose caller left
     * @param prefilledBytes bytes of prompt that were computed
     * @param heldBytes bytes of prompt that the cache spared
     */
    record Counts(
            int running,
            int waiting,
            long completed,
            long cancelled,
            long prefilledBytes,
            long heldBytes) {}
}
