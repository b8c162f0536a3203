package org.ibisstand.gateway;

import java.util.Optional;

/**
 * The identifiers of the events of one stream, which increase from one server to the next. If each
 * was one more than the one before it, the next server goes on with the one that follows.
 */
final class EventSequence {
    /** Identifiers with more digits are compared as text. */
    private static final int MAXIMUM_DIGITS = 18;

    private Optional<String> mLast = Optional.empty();
    private boolean mHasSteps;
    private boolean mHasGap;
    private boolean mAtNextServer;

    /** Returns the identifier of the last event. */
    Optional<String> last() {
        return mLast;
    }

    /** Notes that the next event is the first one of another server. */
    void continueAtNextServer() {
        mAtNextServer = true;
    }

    /**
     * Appends the next event.
     *
     * @return why it does not follow the last one; empty if it does or there is no telling
     */
    Optional<String> append(String identifier) {
        if (mLast.isPresent()) {
            String last = mLast.get();
            if (identifier.equals(last)) {
                return Optional.of("repeated_event");
            }
            if (isNumber(identifier) && isNumber(last)) {
                long step = Long.parseLong(identifier) - Long.parseLong(last);
                if (step <= 0) {
                    return Optional.of("repeated_event");
                }
                if (step > 1 && mAtNextServer && mHasSteps && !mHasGap) {
                    return Optional.of("missing_event");
                }
                mHasSteps = true;
                mHasGap |= step > 1;
            }
        }
        mLast = Optional.of(identifier);
        mAtNextServer = false;
        return Optional.empty();
    }

    private static boolean isNumber(String text) {
        return !text.isEmpty()
                && text.length() <= MAXIMUM_DIGITS
                && text.chars().allMatch(character -> character >= '0' && character <= '9');
    }
}
