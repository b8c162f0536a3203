package org.ibisstand.faults;

import java.util.EnumSet;
import java.util.List;

/** What must always hold, with the steps at which a fault may strike it. */
public enum Promise {
    CACHE_ISOLATION(
            "no cache entry of a dead engine, another team or older weights is used",
            Step.AT_LOOKUP,
            Step.AFTER_ENGINE_RESTART),
    WHOLE_STREAMS(
            "every stream arrives complete and in order", Step.BEFORE_FIRST_CHUNK, Step.AFTER_END),
    RESTART_SERVES(
            "an entry that restarts serves at once",
            Step.BEFORE_CONFIGURATION_KNOWN,
            Step.WHILE_SERVING),
    OWN_ANSWER(
            "each caller receives the whole answer to its own request",
            Step.BEFORE_FIRST_CHUNK,
            Step.AFTER_END),
    TRUE_REFUSAL("a refusal that says not run is true", Step.BEFORE_QUEUE, Step.AT_DISPATCH),
    AT_MOST_ONCE(
            "a non-idempotent request runs at most once", Step.BEFORE_CLAIM, Step.AFTER_RECORD),
    LEAVING_SERVER(
            "a leaving backend server gets no new work after a few seconds",
            Step.BEFORE_NOTICE,
            Step.AFTER_NOTICE),
    GRACEFUL_SHUTDOWN(
            "a graceful shutdown cuts no request in progress", Step.BEFORE_DRAIN, Step.AFTER_DRAIN),
    CONFIGURATION(
            "an accepted configuration is in force everywhere within seconds and never reverts",
            Step.BEFORE_PROPOSAL,
            Step.AFTER_IN_FORCE);

    private final String mText;
    private final Step mFirst;
    private final Step mLast;

    Promise(String text, Step first, Step last) {
        mText = text;
        mFirst = first;
        mLast = last;
    }

    /** Returns the promise in words. */
    public String text() {
        return mText;
    }

    /** Returns the steps at which a fault may strike, in order. */
    public List<Step> steps() {
        return List.copyOf(EnumSet.range(mFirst, mLast));
    }
}
