package org.ibisstand.routing;

import java.util.Optional;

/**
 * A backend server that sends nothing on any connection while requests wait for it, as servers and
 * links may fail without a connection reset. Decides what becomes of it and of its requests.
 *
 * @param silentMilliseconds how long the server has sent nothing
 * @param notice the last notice that its agent sent, unless that is outdated
 */
public record SilentServer(long silentMilliseconds, Optional<Notice> notice) {
    /** Longer than the longest pause between events of a busy engine. */
    private static final long BACKOFF_AFTER_MILLISECONDS = 500;

    /** Retryable requests go elsewhere after this; it allows for the prefill of long prompts. */
    private static final long RETRY_AFTER_MILLISECONDS = 800;

    /** The longest silence that a recent notice excuses, as the agent just queried its engine. */
    private static final long MAXIMUM_SILENCE_WITH_NOTICE_MILLISECONDS = 2_500;

    /** Shorter than any silence that counts, so that a recent notice was sent after it began. */
    private static final long RECENT_NOTICE_MILLISECONDS = BACKOFF_AFTER_MILLISECONDS;

    /**
     * What an agent reported of its engine.
     *
     * @param ageMilliseconds how long ago the notice was received
     * @param isReachable whether the engine answers its agent
     */
    public record Notice(long ageMilliseconds, boolean isReachable) {
        private boolean isRecent() {
            return ageMilliseconds < RECENT_NOTICE_MILLISECONDS;
        }
    }

    /** What becomes of a retryable request at the server. */
    public enum Action {
        /** The request waits for the server. */
        WAIT,
        /**
         * The request goes to another server if one takes it, and waits otherwise: the server is
         * alive, but may be too slow for the caller's deadline.
         */
        RETRY_IF_POSSIBLE,
        /** The server counts as down. */
        GIVE_UP
    }

    /** Returns whether new requests should prefer other servers. */
    public boolean shouldBackOff() {
        return silentMilliseconds >= BACKOFF_AFTER_MILLISECONDS && !isReportedAlive();
    }

    /**
     * Returns what becomes of a retryable request. A server that its agent reports alive may use
     * half of the time that the caller had left when the silence began. The other half is for the
     * next server, which must compute the prompt again.
     *
     * @param remainingMilliseconds the time until the deadline of the request
     */
    public Action actionFor(long remainingMilliseconds) {
        if (silentMilliseconds < RETRY_AFTER_MILLISECONDS) {
            return Action.WAIT;
        }
        if (!isReportedAlive()) {
            return Action.GIVE_UP;
        }
        return silentMilliseconds < remainingMilliseconds ? Action.WAIT : Action.RETRY_IF_POSSIBLE;
    }

    private boolean isReportedAlive() {
        return silentMilliseconds < MAXIMUM_SILENCE_WITH_NOTICE_MILLISECONDS
                && notice.filter(last -> last.isRecent() && last.isReachable()).isPresent();
    }
}
