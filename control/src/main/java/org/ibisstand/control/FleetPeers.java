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
 * Tells the other members what backend servers announced here, and everything once a connection
 * opens, so that a restarted member knows the servers at once; used on the control thread.
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

    /** Connects to exactly these addresses. */
    void keep(Set<String> addresses) {
        mClients.entrySet()
                .removeIf(
                        client -> {
                            boolean leaves = !addresses.contains(client.getKey());
                            if (leaves) {
                                client.getValue().close();
                            }
                            return leaves;
                        });
        addresses.forEach(address -> mClients.computeIfAbsent(address, this::connect));
    }

    /** Passes a record on to all members that are connected. */
    void tell(ServerRecord record) {
        ServerNotice notice = ServerNotice.newBuilder().addServers(record).build();
        sendToAll(Frame.newBuilder().setServerNotice(notice).build());
    }

    /** Asks for this member to be added; only the leader acts on it. */
    void askToJoin(String member, String address) {
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

    private WireClient connect(String text) {
        Address address = Address.parse(text);
        return WireClient.connect(
                mContext, new InetSocketAddress(address.host(), address.port()), new Greeter());
    }

    /** Sends the whole directory on a new connection and watches it for silence. */
    private final class Greeter implements FrameHandler {
        @Override
        public void received(WireConnection connection, Frame frame) {
            // Members answer nothing on this connection.
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
