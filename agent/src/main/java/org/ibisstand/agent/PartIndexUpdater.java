package org.ibisstand.agent;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.ibisstand.base.LogLine;

/** Polls the engine for cache events and applies them to a part index; control thread only. */
final class PartIndexUpdater {
    /** The minimum pause between polls, so that a busy engine is not polled for every event. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    /** Exceeds the time for which the engine delays its response until an event occurs. */
    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(3);

    private final ManagedEngine mEngine;
    private final Clock mClock;
    private final Executor mControlThread;
    private final PartIndex mIndex = new PartIndex();
    private Optional<Instant> mPollSentAt = Optional.empty();
    private Instant mNextPollAt = Instant.MIN;
    private boolean mIsReachable = true;

    PartIndexUpdater(ManagedEngine engine, Clock clock, Executor controlThread) {
        mEngine = engine;
        mClock = clock;
        mControlThread = controlThread;
    }

    /** Requests events unless a response is pending or the next poll is not due. */
    void tick() {
        Instant now = mClock.instant();
        boolean isWaiting =
                mPollSentAt.filter(sentAt -> sentAt.plus(POLL_TIMEOUT).isAfter(now)).isPresent();
        if (!isWaiting && !now.isBefore(mNextPollAt)) {
            mPollSentAt = Optional.of(now);
            mEngine.cacheEvents(mIndex.nextCursor())
                    .whenCompleteAsync(this::onEvents, mControlThread);
        }
    }

    /** Returns how many leading parts the engine has cached. */
    int cachedParts(String salt, List<String> parts) {
        return mIndex.cachedParts(salt, parts);
    }

    private void onEvents(CacheEvents events, Throwable failure) {
        mPollSentAt = Optional.empty();
        mNextPollAt = mClock.instant().plus(POLL_INTERVAL);
        if (failure == null) {
            mIndex.apply(events);
        } else {
            mIndex.clear();
        }
        if ((failure == null) != mIsReachable) {
            mIsReachable = failure == null;
            LogLine.info(mIsReachable ? "cache_events_follow" : "cache_events_lost")
                    .with("reason", failure == null ? "" : failure.getMessage())
                    .with("parts", mIndex.size())
                    .write();
        }
    }
}
