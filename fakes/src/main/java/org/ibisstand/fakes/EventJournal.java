package org.ibisstand.fakes;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** The numbered cache events of one boot of a fake engine, the latest of them kept. */
final class EventJournal {
    private static final int MAXIMUM_EVENTS = 10_000;

    private final Deque<Event> mEvents = new ArrayDeque<>();
    private final Set<Consumer<Event>> mSubscribers = new LinkedHashSet<>();
    private long mNextSequence;

    /**
     * Adds an event.
     *
     * @param type stored, removed or cleared
     * @param hashes the pieces that it is about
     * @param lost whether nobody gets to see it
     */
    void add(String type, List<Long> hashes, boolean lost) {
        Event event = new Event(mNextSequence, type, hashes);
        mNextSequence++;
        if (lost) {
            return;
        }
        mEvents.addLast(event);
        if (mEvents.size() > MAXIMUM_EVENTS) {
            mEvents.removeFirst();
        }
        List.copyOf(mSubscribers).forEach(subscriber -> subscriber.accept(event));
    }

    /** Returns the sequence number of the next event. */
    long nextSequence() {
        return mNextSequence;
    }

    /** Delivers what is kept from a sequence number on, and all that follows. */
    void subscribe(long from, Consumer<Event> subscriber) {
        mEvents.stream().filter(event -> event.sequence() >= from).forEach(subscriber);
        mSubscribers.add(subscriber);
    }

    void unsubscribe(Consumer<Event> subscriber) {
        mSubscribers.remove(subscriber);
    }

    /**
     * A change of the cache.
     *
     * @param sequence grows by one with each event of a boot
     * @param type stored, removed or cleared
     * @param hashes the pieces that it is about
     */
    record Event(long sequence, String type, List<Long> hashes) {}
}
