package org.ibisstand.measure;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireClient;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireServer;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.AgentRecord;
import org.ibisstand.wire.message.Announce;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Offer;
import org.ibisstand.wire.message.ServedModel;

/**
 * Announces many agents to one control member, so that the cost of each can be measured.
 *
 * <p>All agents share one address, which answers every question with the same offer. Runs until it
 * is stopped by a signal.
 */
public final class AgentSwarm {
    private static final long LEASE_MILLISECONDS = 3_000;
    private static final int ANNOUNCEMENTS_PER_LEASE = 3;

    private final WireContext mContext;
    private final InetSocketAddress mControl;
    private final String mAddress;

    private AgentSwarm(WireContext context, InetSocketAddress control, String address) {
        mContext = context;
        mControl = control;
        mAddress = address;
    }

    /**
     * Runs a swarm.
     *
     * @param arguments the number of agents and the wire port of a control member on this machine
     */
    public static void main(String[] arguments) throws InterruptedException {
        int agents = Integer.parseInt(arguments[0]);
        int controlPort = Integer.parseInt(arguments[1]);
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        WireContext context =
                new WireContext(
                        group,
                        WireSettings.standard(),
                        "swarm",
                        "agent",
                        BootIdentifier.create(),
                        new Random(1));
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        WireServer server = WireServer.start(context, any, AgentSwarm::answer);
        InetSocketAddress control = new InetSocketAddress("127.0.0.1", controlPort);
        AgentSwarm swarm = new AgentSwarm(context, control, "127.0.0.1:" + server.port());
        swarm.announceAll(agents);
        new CountDownLatch(1).await();
    }

    private static void answer(WireConnection connection, Frame frame) {
        if (frame.hasOfferRequest()) {
            Offer offer = Offer.newBuilder().setFirstTokenMilliseconds(1).build();
            connection.send(frame.getCorrelation(), Frame.newBuilder().setOffer(offer));
        }
    }

    private void announceAll(int agents) {
        List<WireClient> clients = new ArrayList<>();
        FrameHandler handler = (connection, frame) -> {};
        for (int agent = 0; agent < agents; agent++) {
            clients.add(WireClient.connect(mContext, mControl, handler));
        }
        long interval = LEASE_MILLISECONDS / ANNOUNCEMENTS_PER_LEASE;
        for (int agent = 0; agent < agents; agent++) {
            WireClient client = clients.get(agent);
            Frame frame = Frame.newBuilder().setAnnounce(announce(agent)).build();
            // Spread over the interval, as agents that started at different times are.
            long first = interval * agent / agents;
            mContext.group()
                    .scheduleAtFixedRate(
                            () -> send(client, frame), first, interval, TimeUnit.MILLISECONDS);
        }
    }

    private static void send(WireClient client, Frame frame) {
        client.call(frame.toBuilder(), Duration.ofSeconds(2));
    }

    private Announce announce(int agent) {
        AgentRecord record =
                AgentRecord.newBuilder()
                        .setAgent("agent-" + agent)
                        .setAddress(mAddress)
                        .setBoot(agent + 1)
                        .setZone("zone-" + agent % 8)
                        .setLeaseMilliseconds(LEASE_MILLISECONDS)
                        .addModels(
                                ServedModel.newBuilder()
                                        .setModel("model-" + agent % 22)
                                        .setWeightsVersion("1"))
                        .build();
        return Announce.newBuilder().setAgent(record).build();
    }
}
