package org.ibisstand.control;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.ibisstand.consensus.MemberIdentifier;
import org.ibisstand.control.message.MemberPayload;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireClient;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.message.ConsensusEnvelope;
import org.ibisstand.wire.message.Frame;

/**
 * Sends messages to the other members; used on the control thread. A message that cannot be sent
 * immediately is dropped, since consensus retransmits where necessary.
 */
final class MemberConnections implements AutoCloseable {
    private final MemberIdentifier mSelf;
    private final WireContext mContext;
    private final Executor mControlThread;
    private final BiConsumer<WireConnection, ConsensusEnvelope> mReceiver;
    private final Map<String, WireClient> mClients = new HashMap<>();
    private final Map<MemberIdentifier, WireConnection> mInbound = new HashMap<>();

    MemberConnections(
            MemberIdentifier self,
            WireContext context,
            Executor controlThread,
            BiConsumer<WireConnection, ConsensusEnvelope> receiver) {
        mSelf = self;
        mContext = context;
        mControlThread = controlThread;
        mReceiver = receiver;
    }

    /** Sends to an address; connects to it first if necessary, and drops the message until then. */
    void send(String address, MemberPayload payload) {
        client(address).connection().ifPresent(connection -> send(connection, payload));
    }

    void send(WireConnection connection, MemberPayload payload) {
        if (connection.isOpen() && connection.isWritable()) {
            ByteString bytes = payload.toByteString();
            ConsensusEnvelope.Builder envelope =
                    ConsensusEnvelope.newBuilder().setMember(mSelf.value()).setPayload(bytes);
            connection.send(0, Frame.newBuilder().setConsensus(envelope));
        }
    }

    /** Sends to a member whose address is unknown, on the connection of its last message. */
    void sendToInbound(MemberIdentifier member, MemberPayload payload) {
        Optional.ofNullable(mInbound.get(member))
                .ifPresent(connection -> send(connection, payload));
    }

    void setInbound(MemberIdentifier member, WireConnection connection) {
        mInbound.put(member, connection);
    }

    /**
     * Closes connections to all other addresses, and removes inbound connections that are closed.
     */
    void retainOnly(Set<String> addresses) {
        mClients.entrySet().removeIf(entry -> closeUnless(addresses, entry));
        mInbound.values().removeIf(connection -> !connection.isOpen());
    }

    @Override
    public void close() {
        mClients.values().forEach(WireClient::close);
        mClients.clear();
    }

    private WireClient client(String address) {
        return mClients.computeIfAbsent(address, this::connect);
    }

    private WireClient connect(String addressText) {
        Address address = Address.parse(addressText);
        InetSocketAddress target = new InetSocketAddress(address.host(), address.port());
        return WireClient.connect(mContext, target, new Receiver());
    }

    private static boolean closeUnless(Set<String> addresses, Map.Entry<String, WireClient> entry) {
        if (addresses.contains(entry.getKey())) {
            return false;
        }
        entry.getValue().close();
        return true;
    }

    /**
     * Receives messages, and monitors the connections for silence, since they carry no requests.
     */
    private final class Receiver implements FrameHandler {
        @Override
        public void received(WireConnection connection, Frame frame) {
            mControlThread.execute(() -> mReceiver.accept(connection, frame.getConsensus()));
        }

        @Override
        public void opened(WireConnection connection) {
            connection.watch();
        }
    }
}
