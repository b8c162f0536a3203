package org.ibisstand.gateway;

import java.util.List;
import org.ibisstand.base.LogLine;

/**
 * Detects backend servers that send nothing on any connection while requests wait for them, as
 * servers and links may fail without a connection reset. Confined to the gateway's event loop.
 */
final class SilentServerDetector {
    /** Longer than the longest pause between events of a busy engine. */
    private static final long BACKOFF_AFTER_MILLISECONDS = 500;

    /** Retryable requests go elsewhere after this; it allows for the prefill of long prompts. */
    private static final long REROUTE_AFTER_MILLISECONDS = 800;

    /** The longest silence that a recent notice excuses, as the agent just queried its engine. */
    private static final long MAXIMUM_SILENCE_WITH_NOTICE_MILLISECONDS = 2_500;

    private final GatewayContext mGateway;

    SilentServerDetector(GatewayContext gateway) {
        mGateway = gateway;
    }

    void check() {
        long now = mGateway.now();
        for (BackendServer server : List.copyOf(mGateway.directory().servers())) {
            long silentMilliseconds = server.silentMilliseconds(now);
            if (silentMilliseconds < BACKOFF_AFTER_MILLISECONDS
                    || isReportedAlive(server, now, silentMilliseconds)) {
                continue;
            }
            if (!server.isBackingOff(now)) {
                LogLine.warning("server_silent")
                        .with("server", server.name())
                        .with("silent_ms", silentMilliseconds)
                        .with("in_flight", server.inFlight())
                        .write();
                server.recordFailure(now);
                server.closeIdleConnections();
            }
            if (silentMilliseconds >= REROUTE_AFTER_MILLISECONDS) {
                List.copyOf(server.attempts()).forEach(Attempt::onServerSilent);
            }
        }
    }

    private static boolean isReportedAlive(
            BackendServer server, long now, long silentMilliseconds) {
        return silentMilliseconds < MAXIMUM_SILENCE_WITH_NOTICE_MILLISECONDS
                && server.notice(now).isPresent()
                && server.noticeAgeMilliseconds(now) < BACKOFF_AFTER_MILLISECONDS;
    }
}
