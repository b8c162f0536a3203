package org.ibisstand.agent;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/**
 * What became of every claimed attempt that this boot of the agent has heard of.
 *
 * <p>An attempt starts at most once: a second submission joins the first, and one that was refused
 * or asked about before it came never starts. Ended attempts are forgotten after a time that is
 * longer than a submission can be under way, since a connection that is silent for seconds is
 * closed. For the control thread only.
 *
 * @param <T> what stands for a running attempt
 */
final class Attempts<T> {
    /** How long an ended attempt is remembered. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    /** What an attempt has come to. */
    sealed interface State<T> {
        /** The attempt was unknown and has been entered as running now. */
        record Started<T>() implements State<T> {}

        /**
         * The attempt runs or has run already.
         *
         * @param attempt what was entered for it
         */
        record Known<T>(T attempt) implements State<T> {}

        /** The attempt never ran and never will. */
        record Tombstoned<T>() implements State<T> {}
    }

    private static final class Entry<T> {
        private final Optional<T> mAttempt;
        private Optional<Instant> mEnded;

        private Entry(Optional<T> attempt, Optional<Instant> ended) {
            mAttempt = attempt;
            mEnded = ended;
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

    /** Enters an attempt unless it is known; the caller runs it only on {@link State.Started}. */
    State<T> start(AttemptKey key, T attempt) {
        Entry<T> known = mEntries.get(key);
        if (known == null) {
            mEntries.put(key, new Entry<>(Optional.of(attempt), Optional.empty()));
            return new State.Started<>();
        }
        return known.mAttempt.<State<T>>map(State.Known::new).orElseGet(State.Tombstoned::new);
    }

    /** Returns the attempt if it is running or has run. */
    Optional<T> find(AttemptKey key) {
        return Optional.ofNullable(mEntries.get(key)).flatMap(entry -> entry.mAttempt);
    }

    /** Notes that an attempt will never run; the caller has made sure that it has not. */
    void tombstone(AttemptKey key) {
        mEntries.put(key, new Entry<>(Optional.empty(), Optional.of(mClock.instant())));
    }

    /** Notes that an attempt has run and its outcome is recorded. */
    void ended(AttemptKey key) {
        Entry<T> entry = mEntries.get(key);
        if (entry != null) {
            entry.mEnded = Optional.of(mClock.instant());
        }
    }

    /** Forgets what ended long ago. */
    void expire() {
        Instant limit = mClock.instant().minus(RETENTION);
        Iterator<Entry<T>> entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            if (entries.next().mEnded.filter(limit::isAfter).isPresent()) {
                entries.remove();
            }
        }
    }

    int size() {
        return mEntries.size();
    }
}
