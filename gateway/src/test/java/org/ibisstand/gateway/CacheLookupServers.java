package org.ibisstand.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireServer;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.PartAnswer;

/** Answers gateways, as agents do, which prompt parts an engine has cached under a salt. */
final class CacheLookupServers implements AutoCloseable {
    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<VersionedEngine, WireServer> mServers = new HashMap<>();
    private final ToIntFunction<VersionedEngine> mReportedRunning;

    /**
     * Starts a server for each engine.
     *
     * @param engines the engines
     * @param reportedRunning returns how many running requests to report of an engine
     */
    CacheLookupServers(
            List<VersionedEngine> engines, ToIntFunction<VersionedEngine> reportedRunning) {
        mReportedRunning = reportedRunning;
        WireContext wire =
                new WireContext(
                        mEventLoops,
                        WireSettings.standard(),
                        "agent",
                        "agent",
                        BootIdentifier.create(),
                        new SecureRandom());
        for (VersionedEngine engine : engines) {
            mServers.put(
                    engine,
                    WireServer.start(
                            wire,
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            (connection, frame) -> respond(engine, connection, frame)));
        }
    }

    String address(VersionedEngine engine) {
        return "127.0.0.1:" + mServers.get(engine).port();
    }

    @Override
    public void close() {
        mServers.values().forEach(WireServer::close);
        mEventLoops.shutdownGracefully();
    }

    private void respond(VersionedEngine engine, WireConnection connection, Frame frame) {
        if (frame.hasPartQuestion()) {
            int heldParts =
                    engine.cachedParts(
                            frame.getPartQuestion().getSalt(),
                            frame.getPartQuestion().getPartsList());
            connection.send(
                    frame.getCorrelation(),
                    Frame.newBuilder()
                            .setPartAnswer(
                                    PartAnswer.newBuilder()
                                            .setHeldParts(heldParts)
                                            .setRunning(mReportedRunning.applyAsInt(engine))));
        }
    }
}
