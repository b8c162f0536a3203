package org.ibisstand.faults;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counts what became of the requests of a run; safe for several threads. */
final class RunCounts {
    /** What may become of a request or of one try of it. */
    enum Kind {
        STREAMS_TRIED,
        STREAMS_WHOLE,
        STREAMS_LOST,
        STREAMS_CUT,
        STREAMS_CROSSED,
        ORDERS_TRIED,
        ORDERS_COMPLETED,
        ORDERS_REFUSED,
        ORDERS_UNKNOWN,
        ORDERS_LOST,
        ORDERS_DOUBLED,
        ORDERS_CROSSED,
        ORDERS_REFUSED_FALSELY,
        TRIES,
        TRIES_FAILED
    }

    private final Map<Kind, AtomicLong> mCounts = new EnumMap<>(Kind.class);

    RunCounts() {
        for (Kind kind : Kind.values()) {
            mCounts.put(kind, new AtomicLong());
        }
    }

    void add(Kind kind) {
        mCounts.get(kind).incrementAndGet();
    }

    long get(Kind kind) {
        return mCounts.get(kind).get();
    }

    /** Returns whether no answer was lost, doubled, cut or crossed, and no refusal untrue. */
    boolean isClean() {
        long faults =
                get(Kind.STREAMS_LOST)
                        + get(Kind.STREAMS_CUT)
                        + get(Kind.STREAMS_CROSSED)
                        + get(Kind.ORDERS_LOST)
                        + get(Kind.ORDERS_DOUBLED)
                        + get(Kind.ORDERS_CROSSED)
                        + get(Kind.ORDERS_REFUSED_FALSELY);
        return faults == 0;
    }

    Map<String, Long> report() {
        Map<String, Long> report = new TreeMap<>();
        mCounts.forEach(
                (kind, count) -> report.put(kind.name().toLowerCase(Locale.ROOT), count.get()));
        return report;
    }
}
