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
import org.ibisstand.wire.message.ServerNotice;
import org.ibisstand.wire.message.ServerRecord;

/**
 * Forwards the announcements of backend servers that this member received to the other members;
 * used on the control thread. A new connection first gets the whole directory, so that a restarted
 * member knows all servers immediately.
 */
final class FleetPeers implements AutoCloseable {
    private final WireContext mContext;
    private final Executor mControlThread;
    private final Supplier<List<ServerRecord>> mRecords;
    private final Map<String, WireClient> mClients = new HashMap<>();

    FleetPeers(WireContext context, Executor controlThread, Supplier<List<ServerRecord>> records) {
        mContext = context;
        mControlThread = controlThread;
        mRecords = records;
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

    /** Sends a record to all connected members. */
    void broadcast(ServerRecord record) {
        ServerNotice notice = ServerNotice.newBuilder().addServers(record).build();
        sendToAll(Frame.newBuilder().setServerNotice(notice).build());
    }

    /** Asks all members to add this one to the group; only the leader acts on it. */
    void requestJoin(String member, String address) {
        JoinRequest request =
                JoinRequest.newBuilder().setMember(member).setAddress(address).build();
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
                new DirectorySender());
    }

    /** Sends the whole directory on a new connection, and monitors the connection for silence. */
    private final class DirectorySender implements FrameHandler {
        @Override
        public void received(WireConnection connection, Frame frame) {
            // Members send no replies on this connection.
        }

        @Override
        public void opened(WireConnection connection) {
            connection.watch();
            mControlThread.execute(
                    () -> {
                        ServerNotice notice =
                                ServerNotice.newBuilder().addAllServers(mRecords.get()).build();
                        connection.send(0, Frame.newBuilder().setServerNotice(notice));
                    });
        }
    }
}
