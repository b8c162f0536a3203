package org.ibisstand.agent;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.ibisstand.base.LogLine;

/** Follows the cache events of the engine beside this agent; on the agent's control thread. */
final class PartFollower {
    /** Between questions, so that a busy engine is not asked for every single event. */
    private static final Duration PAUSE = Duration.ofMillis(200);

    /** Longer than the engine keeps a question waiting. */
    private static final Duration PATIENCE = Duration.ofSeconds(3);

    private final ManagedEngine mOffice;
    private final Clock mClock;
    private final Executor mControlThread;
    private final PartIndex mIndex = new PartIndex();
    private Optional<Instant> mAskedAt = Optional.empty();
    private Instant mNextAt = Instant.MIN;
    private boolean mIsReachable = true;

    PartFollower(ManagedEngine office, Clock clock, Executor controlThread) {
        mOffice = office;
        mClock = clock;
        mControlThread = controlThread;
    }

    /** Asks for events, unless an answer is still due. */
    void tick() {
        Instant now = mClock.instant();
        boolean isWaiting = mAskedAt.filter(at -> at.plus(PATIENCE).isAfter(now)).isPresent();
        if (!isWaiting && !now.isBefore(mNextAt)) {
            mAskedAt = Optional.of(now);
            mOffice.cacheEvents(mIndex.next()).whenCompleteAsync(this::answered, mControlThread);
        }
    }

    /** Returns how many of the first parts the engine holds. */
    int held(String salt, List<String> parts) {
        return mIndex.held(salt, parts);
    }

    private void answered(CacheEvents events, Throwable failure) {
        mAskedAt = Optional.empty();
        mNextAt = mClock.instant().plus(PAUSE);
        if (failure == null) {
            mIndex.take(events);
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
