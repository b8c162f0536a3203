package org.ibisstand.gateway;

import java.util.List;
import java.util.Optional;
import org.ibisstand.base.LogLine;
import org.ibisstand.routing.SilentServer;

/**
 * Detects backend servers that send nothing on any connection while requests wait for them, as
 * servers and links may fail without a connection reset. Confined to the gateway's event loop.
 */
final class SilentServerDetector {
    private final GatewayContext mGateway;

    SilentServerDetector(GatewayContext gateway) {
        mGateway = gateway;
    }

    void check() {
        long now = mGateway.now();
        for (BackendServer server : List.copyOf(mGateway.directory().servers())) {
            SilentServer silence =
                    new SilentServer(server.silentMilliseconds(now), lastNotice(server, now));
            if (silence.shouldBackOff() && !server.isBackingOff(now)) {
                LogLine.warning("server_silent")
                        .with("server", server.name())
                        .with("silent_ms", silence.silentMilliseconds())
                        .with("in_flight", server.inFlight())
                        .write();
                server.recordFailure(now);
                server.closeIdleConnections();
            }
            List.copyOf(server.attempts()).forEach(attempt -> attempt.onServerSilent(silence));
        }
    }

    private static Optional<SilentServer.Notice> lastNotice(BackendServer server, long now) {
        return server.notice(now)
                .map(
                        notice ->
                                new SilentServer.Notice(
                                        server.noticeAgeMilliseconds(now),
                                        !notice.getUnreachable()));
    }
}
