package org.ibisstand.control;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireClient;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.JoinRequest;

/**
 * Connections to the other members, and to processes of control that may be none; used on the
 * control thread. Members get the announcements of backend servers and the crash reports that this
 * one received; a new connection first gets everything, so that a restarted member knows all
 * servers immediately.
 */
final class FleetPeers implements AutoCloseable {
    private final WireContext mContext;
    private final Executor mControlThread;
    private final Supplier<List<Frame.Builder>> mInitialFrames;
    private final BiConsumer<WireConnection, Frame> mReceiver;
    private final Map<String, WireClient> mClients = new HashMap<>();
    private Set<String> mMembers = Set.of();

    /**
     * Creates peers without connections.
     *
     * @param context what the connections share
     * @param controlThread runs the callbacks
     * @param initialFrames returns what a member is told first
     * @param receiver receives what peers answer
     */
    FleetPeers(
            WireContext context,
            Executor controlThread,
            Supplier<List<Frame.Builder>> initialFrames,
            BiConsumer<WireConnection, Frame> receiver) {
        mContext = context;
        mControlThread = controlThread;
        mInitialFrames = initialFrames;
        mReceiver = receiver;
    }

    /**
     * Connects to the given addresses and closes all other connections.
     *
     * @param members the other members
     * @param others further processes of control, which may be no members
     */
    void connectTo(Set<String> members, Set<String> others) {
        Set<String> addresses = new HashSet<>(members);
        addresses.addAll(others);
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
        Set<String> added = new HashSet<>(members);
        added.removeAll(mMembers);
        mMembers = Set.copyOf(members);
        if (!added.isEmpty()) {
            mInitialFrames.get().forEach(frame -> send(added, frame));
        }
    }

    /** Returns the addresses of the members that are connected. */
    Set<String> connectedMembers() {
        return mMembers.stream()
                .filter(member -> mClients.get(member).connection().isPresent())
                .collect(Collectors.toSet());
    }

    /** Sends a frame to all connected members. */
    void broadcast(Frame.Builder frame) {
        send(mMembers, frame);
    }

    /** Sends a frame to the connected processes of control that are no members. */
    void sendToOthers(Frame.Builder frame) {
        Set<String> others = new HashSet<>(mClients.keySet());
        others.removeAll(mMembers);
        send(others, frame);
    }

    /** Sends a frame to all connected members and other processes of control. */
    void sendToAll(Frame.Builder frame) {
        send(mClients.keySet(), frame);
    }

    /** Asks all members to add this one to the group; only the leader acts on it. */
    void requestJoin(String member, String address, boolean isFirstStart) {
        JoinRequest request =
                JoinRequest.newBuilder()
                        .setMember(member)
                        .setAddress(address)
                        .setFirstStart(isFirstStart)
                        .build();
        sendToAll(Frame.newBuilder().setJoinRequest(request));
    }

    @Override
    public void close() {
        mClients.values().forEach(WireClient::close);
        mClients.clear();
    }

    private void send(Set<String> addresses, Frame.Builder frame) {
        addresses.stream()
                .map(mClients::get)
                .map(WireClient::connection)
                .flatMap(Optional::stream)
                .filter(WireConnection::isWritable)
                .forEach(connection -> connection.send(0, frame.clone()));
    }

    private WireClient connect(String addressText) {
        Address address = Address.parse(addressText);
        return WireClient.connect(
                mContext,
                new InetSocketAddress(address.host(), address.port()),
                new Peer(addressText));
    }

    /** Sends everything on a new connection, and monitors the connection for silence. */
    private final class Peer implements FrameHandler {
        private final String mAddress;

        Peer(String address) {
            mAddress = address;
        }

        @Override
        public void received(WireConnection connection, Frame frame) {
            mControlThread.execute(() -> mReceiver.accept(connection, frame));
        }

        @Override
        public void opened(WireConnection connection) {
            connection.watch();
            mControlThread.execute(
                    () -> {
                        if (mMembers.contains(mAddress)) {
                            mInitialFrames.get().forEach(frame -> connection.send(0, frame));
                        }
                    });
        }
    }
}
