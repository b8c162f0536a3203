package org.ibisstand.control;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireClient;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.JoinRequest;

/**
 * Forwards the announcements of backend servers and the crash reports that this member received to
 * the other members; used on the control thread. A new connection first gets everything, so that a
 * restarted member knows all servers immediately.
 */
final class FleetPeers implements AutoCloseable {
    private final WireContext mContext;
    private final Executor mControlThread;
    private final Supplier<List<Frame>> mInitialFrames;
    private final Map<String, WireClient> mClients = new HashMap<>();

    FleetPeers(WireContext context, Executor controlThread, Supplier<List<Frame>> initialFrames) {
        mContext = context;
        mControlThread = controlThread;
        mInitialFrames = initialFrames;
    }

    /** Connects to the given addresses and closes all other connections. */
    void connectTo(Set<String> addresses) {
        mClients.entrySet()
                .removeIf(
                        client -> {
                            boolean isRemoved = !addresses.contains(client.getKey());
                            if (isRemoved) {
                                client.getValue().close();
                            }
                            return isRemoved;
                        });
        addresses.forEach(address -> mClients.computeIfAbsent(address, this::connect));
    }

    /** Sends a frame to all connected members. */
    void broadcast(Frame.Builder frame) {
        sendToAll(frame.build());
    }

    /** Asks all members to add this one to the group; only the leader acts on it. */
    void requestJoin(String member, String address, boolean isFirstStart) {
        JoinRequest request =
                JoinRequest.newBuilder()
                        .setMember(member)
                        .setAddress(address)
                        .setFirstStart(isFirstStart)
                        .build();
        sendToAll(Frame.newBuilder().setJoinRequest(request).build());
    }

    @Override
    public void close() {
        mClients.values().forEach(WireClient::close);
        mClients.clear();
    }

    private void sendToAll(Frame frame) {
        mClients.values().stream()
                .map(WireClient::connection)
                .flatMap(Optional::stream)
                .filter(WireConnection::isWritable)
                .forEach(connection -> connection.send(0, frame.toBuilder()));
    }

    private WireClient connect(String addressText) {
        Address address = Address.parse(addressText);
        return WireClient.connect(
                mContext,
                new InetSocketAddress(address.host(), address.port()),
                new InitialSender());
    }

    /** Sends everything on a new connection, and monitors the connection for silence. */
    private final class InitialSender implements FrameHandler {
        @Override
        public void received(WireConnection connection, Frame frame) {
            // Members send no replies on this connection.
        }

        @Override
        public void opened(WireConnection connection) {
            connection.watch();
            mControlThread.execute(
                    () ->
                            mInitialFrames
                                    .get()
                                    .forEach(frame -> connection.send(0, frame.toBuilder())));
        }
    }
}
