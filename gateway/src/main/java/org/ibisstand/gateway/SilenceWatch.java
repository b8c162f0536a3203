package org.ibisstand.gateway;

import java.util.List;
import org.ibisstand.base.LogLine;

/**
 * Finds backend servers that say nothing on any connection while requests wait for them; for the
 * traffic thread only. It answers servers and links that go dark without a reset.
 */
final class SilenceWatch {
    /** Longer than the longest pause between events of a busy engine. */
    private static final long PAUSE_AFTER_MILLISECONDS = 500;

    /** When requests that may run elsewhere go there; an engine may read long prompts for long. */
    private static final long MOVE_AFTER_MILLISECONDS = 800;

    /** An agent that spoke more recently has just asked its engine, which is alive. */
    private static final long ALIVE_MILLISECONDS = 2_500;

    private final Gateway mGateway;

    SilenceWatch(Gateway gateway) {
        mGateway = gateway;
    }

    void check() {
        long now = mGateway.now();
        for (BackendServer server : List.copyOf(mGateway.directory().all())) {
            long silent = server.silentMilliseconds(now);
            if (silent < PAUSE_AFTER_MILLISECONDS || isAlive(server, now, silent)) {
                continue;
            }
            if (!server.isPaused(now)) {
                LogLine.warning("server_silent")
                        .with("server", server.name())
                        .with("silent_ms", silent)
                        .with("in_flight", server.inFlight())
                        .write();
                server.failed(now);
                server.closeIdle();
            }
            if (silent >= MOVE_AFTER_MILLISECONDS) {
                List.copyOf(server.attempts()).forEach(Attempt::serverSilent);
            }
        }
    }

    private static boolean isAlive(BackendServer server, long now, long silent) {
        return silent < ALIVE_MILLISECONDS
                && server.notice(now).isPresent()
                && server.noticeAge(now) < PAUSE_AFTER_MILLISECONDS;
    }
}
