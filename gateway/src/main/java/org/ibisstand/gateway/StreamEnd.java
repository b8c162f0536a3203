package org.ibisstand.gateway;

/**
 * The end of an engine's stream.
 *
 * @param kind whether the stream is complete
 * @param handler what to do if no move caused the end
 */
record StreamEnd(Kind kind, Runnable handler) {
    /** What the end says about the stream. */
    enum Kind {
        /** The stream is complete. */
        DELIMITED,
        /** The connection was closed in an orderly way, after the last event or ahead of it. */
        CLOSED,
        /** The stream broke off. */
        BROKEN
    }
}
