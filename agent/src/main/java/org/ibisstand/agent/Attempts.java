package org.ibisstand.agent;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/**
 * The states of all claimed attempts that this agent has received since it started.
 *
 * <p>An attempt starts at most once: a second submission joins the first, and an attempt that was
 * rejected or tombstoned before its submission never starts. Ended attempts are removed after a
 * retention period that exceeds the time a submission can spend in transit, since a connection that
 * is silent for seconds is closed. For the control thread only.
 *
 * @param <T> the type that represents a running attempt
 */
final class Attempts<T> {
    /** How long an ended attempt is retained. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    /** The state of an attempt. */
    sealed interface State<T> {
        /** The attempt is new and is now registered as running. */
        record Started<T>() implements State<T> {}

        /**
         * The attempt is running or has already run.
         *
         * @param attempt the object that was registered for it
         */
        record Known<T>(T attempt) implements State<T> {}

        /** The attempt never ran and never will. */
        record Tombstoned<T>() implements State<T> {}
    }

    private static final class Entry<T> {
        private final Optional<T> mAttempt;
        private Optional<Instant> mEndedAt;

        private Entry(Optional<T> attempt, Optional<Instant> endedAt) {
            mAttempt = attempt;
            mEndedAt = endedAt;
        }
    }

    private final Clock mClock;
    private final Map<AttemptKey, Entry<T>> mEntries = new HashMap<>();

    private Attempts(Clock clock) {
        mClock = clock;
    }

    static <T> Attempts<T> create(Clock clock) {
        return new Attempts<>(clock);
    }

    /** Registers an attempt if it is new; the caller runs it only on {@link State.Started}. */
    State<T> tryStart(AttemptKey key, T attempt) {
        Entry<T> entry = mEntries.get(key);
        if (entry == null) {
            mEntries.put(key, new Entry<>(Optional.of(attempt), Optional.empty()));
            return new State.Started<>();
        }
        return entry.mAttempt.<State<T>>map(State.Known::new).orElseGet(State.Tombstoned::new);
    }

    /** Returns the attempt if it is running or has run. */
    Optional<T> find(AttemptKey key) {
        return Optional.ofNullable(mEntries.get(key)).flatMap(entry -> entry.mAttempt);
    }

    /** Marks an attempt as never to run; the caller must ensure that it has not run yet. */
    void tombstone(AttemptKey key) {
        mEntries.put(key, new Entry<>(Optional.empty(), Optional.of(mClock.instant())));
    }

    /** Marks an attempt whose run is over and whose outcome is recorded. */
    void markEnded(AttemptKey key) {
        Entry<T> entry = mEntries.get(key);
        if (entry != null) {
            entry.mEndedAt = Optional.of(mClock.instant());
        }
    }

    /** Removes attempts that ended longer than {@link #RETENTION} ago. */
    void removeExpired() {
        Instant oldestRetained = mClock.instant().minus(RETENTION);
        Iterator<Entry<T>> entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            if (entries.next().mEndedAt.filter(oldestRetained::isAfter).isPresent()) {
                entries.remove();
            }
        }
    }

    int size() {
        return mEntries.size();
    }
}
