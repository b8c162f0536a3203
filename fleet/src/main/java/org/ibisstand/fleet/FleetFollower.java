package org.ibisstand.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.RoutingConfiguration;
import org.ibisstand.settings.RoutingConfigurationReader;
import org.ibisstand.wire.AnswerHandler;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireClient;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.FleetUpdate;
import org.ibisstand.wire.message.FleetWatch;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.ServerRecord;

/**
 * Watches all members of control that are known, and keeps one state joined from what they tell. A
 * member is forgotten only when a newer list lacks it: all connections may be lost at once, and the
 * first member that answers may know no other one, or only those of long ago. The version of the
 * routing configuration never goes back, whoever sends it; when no member can be reached, the last
 * state stays in force.
 */
public final class FleetFollower implements AutoCloseable {
    /**
     * Entries that are taken to share budgets until more are known; counts go up only, since a
     * member that restarted knows a part of the entries.
     */
    private static final int INITIAL_ENTRIES = 8;

    private final WireContext mContext;
    private final Executor mControlThread;
    private final Consumer<FleetState> mListener;
    private final Consumer<EngineNotices> mEngineListener;
    private final boolean mIsEntry;
    private final Optional<RoutingConfigurationReader> mReader;
    private final Map<String, WireClient> mClients = new HashMap<>();
    private final Map<WireConnection, FleetUpdate> mUpdates = new HashMap<>();
    private int mEntries = INITIAL_ENTRIES;
    private Set<String> mSeeds = Set.of();
    private MemberList mKnownMembers = MemberList.NONE;
    private List<ServerRecord> mServers = List.of();
    private Map<String, Long> mWeights = Map.of();
    private Optional<RoutingConfiguration> mRouting = Optional.empty();
    private boolean mStopping;

    /** A copy of the clients for other threads, which need not wait for the control thread. */
    private volatile Map<String, WireClient> mMembers = Map.of();

    /**
     * Creates a follower that knows no member yet.
     *
     * @param context what the connections share
     * @param controlThread runs all decisions of the follower
     * @param isEntry whether this process takes requests, and counts among those that do
     * @param listener receives each new state, on the control thread
     * @param engineListener receives the state of engines as agents tell it, on the control thread
     */
    public FleetFollower(
            WireContext context,
            Executor controlThread,
            boolean isEntry,
            Consumer<FleetState> listener,
            Consumer<EngineNotices> engineListener) {
        mContext = context;
        mControlThread = controlThread;
        mIsEntry = isEntry;
        // Agents need no routing, and the reader is a large part of the work of their start.
        mReader = isEntry ? Optional.of(RoutingConfigurationReader.create()) : Optional.empty();
        mListener = listener;
        mEngineListener = engineListener;
    }

    /** Watches the members at these addresses and all that they name. */
    public void follow(Collection<String> seeds) {
        mControlThread.execute(
                () -> {
                    mSeeds = Set.copyOf(seeds);
                    connect();
                });
    }

    /** Tells all entries about an engine, through the first member that can be reached. */
    public void tell(EngineNotice notice) {
        mControlThread.execute(
                () ->
                        mUpdates.keySet().stream()
                                .filter(one -> one.isOpen() && one.isWritable())
                                .min(Comparator.comparing(one -> one.remoteAddress().toString()))
                                .ifPresent(connection -> send(connection, notice)));
    }

    /** Sends notices to all members that can be reached; some may be frozen. */
    public void tellAll(EngineNotices notices) {
        mControlThread.execute(
                () ->
                        mUpdates.keySet().stream()
                                .filter(one -> one.isOpen() && one.isWritable())
                                .forEach(
                                        one ->
                                                one.send(
                                                        0,
                                                        Frame.newBuilder()
                                                                .setEngineNotices(notices))));
    }

    /**
     * Returns the addresses of the known members, or of the seeds while none is known; any thread.
     */
    public Set<String> members() {
        return mMembers.keySet();
    }

    /**
     * Sends a request that has one answer to a member; may be called on any thread.
     *
     * @param member one of {@link #members()}
     * @param request the request
     * @param timeout how long to wait for the answer
     * @return the answer; fails at once with AGENT_UNREACHABLE without a connection
     */
    public CompletableFuture<Frame> call(String member, Frame.Builder request, Duration timeout) {
        WireClient client = mMembers.get(member);
        if (client == null) {
            return CompletableFuture.failedFuture(
                    new IbisstandException(
                            ErrorCode.AGENT_UNREACHABLE, "no member of control at " + member));
        }
        return client.call(request, timeout);
    }

    private static void send(WireConnection connection, EngineNotice notice) {
        connection.send(
                0,
                Frame.newBuilder().setEngineNotices(EngineNotices.newBuilder().addEngines(notice)));
    }

    /** Notes that this process begins to stop, so that the log tells its stop from a member's. */
    public void stopping() {
        mControlThread.execute(() -> mStopping = true);
    }

    @Override
    public void close() {
        stopping();
        mControlThread.execute(() -> mClients.values().forEach(WireClient::close));
    }

    private void connect() {
        Set<String> wanted = new HashSet<>(mSeeds);
        wanted.addAll(mKnownMembers.addresses());
        mClients.entrySet().removeIf(client -> closeUnless(wanted, client));
        wanted.forEach(address -> mClients.computeIfAbsent(address, this::open));
        Map<String, WireClient> members = new HashMap<>(mClients);
        if (!mKnownMembers.addresses().isEmpty()) {
            // Processes without a log answer no requests.
            members.keySet().retainAll(mKnownMembers.addresses());
        }
        if (!mMembers.equals(members)) {
            mMembers = Map.copyOf(members);
        }
    }

    private WireClient open(String text) {
        Address address = Address.parse(text);
        return WireClient.connect(
                mContext, new InetSocketAddress(address.host(), address.port()), new Link(text));
    }

    private static boolean closeUnless(Set<String> wanted, Map.Entry<String, WireClient> client) {
        boolean leaves = !wanted.contains(client.getKey());
        if (leaves) {
            client.getValue().close();
        }
        return leaves;
    }

    private void opened(WireConnection connection, String address) {
        LogLine.info("control_connected").with("address", address).write();
        FleetWatch.Builder watch =
                FleetWatch.newBuilder()
                        .setProcess(mIsEntry ? mContext.process() : "")
                        .setRoutingVersion(mRouting.map(RoutingConfiguration::version).orElse(0L));
        connection.open(Frame.newBuilder().setFleetWatch(watch), new Updates(connection, address));
    }

    private void lost(WireConnection connection, String address, String reason) {
        mUpdates.remove(connection);
        LogLine.warning("control_lost")
                .with("address", address)
                .with("reason", reason)
                .with("own_stop", mStopping)
                .with("connected", mUpdates.size())
                .write();
    }

    private void updated(WireConnection connection, FleetUpdate update) {
        if (!connection.isOpen()) {
            return;
        }
        takeRouting(update);
        takeMembers(MemberList.of(update));
        FleetUpdate before = mUpdates.getOrDefault(connection, FleetUpdate.getDefaultInstance());
        mUpdates.put(
                connection, FleetMerge.joined(before, update.toBuilder().clearRouting().build()));
        connect();
        mServers = FleetMerge.servers(mUpdates.values(), mServers);
        mWeights = FleetMerge.weights(mUpdates.values(), mWeights);
        int entries = mUpdates.values().stream().mapToInt(FleetUpdate::getEntries).max().orElse(1);
        mListener.accept(new FleetState(mRouting, mWeights, mServers, Math.max(1, entries)));
    }

    private void takeMembers(MemberList heard) {
        MemberList before = mKnownMembers;
        mKnownMembers = before.updatedBy(heard);
        if (!mKnownMembers.addresses().equals(before.addresses())) {
            LogLine.info("members_known")
                    .with("members", mKnownMembers.addresses())
                    .with("term", mKnownMembers.term())
                    .with("index", mKnownMembers.index())
                    .with("before", before.addresses())
                    .write();
        }
    }

    private void takeRouting(FleetUpdate update) {
        long known = mRouting.map(RoutingConfiguration::version).orElse(0L);
        if (mReader.isEmpty()
                || update.getRouting().isEmpty()
                || update.getRoutingVersion() <= known) {
            return;
        }
        try {
            mRouting = mReader.map(reader -> reader.read(update.getRouting().toByteArray()));
            LogLine.info("routing_in_force")
                    .with("version", update.getRoutingVersion())
                    .with("before", known)
                    .write();
        } catch (IbisstandException e) {
            LogLine.error("routing_unreadable")
                    .with("version", update.getRoutingVersion())
                    .code(e.code())
                    .cause(e)
                    .write();
        }
    }

    /** Subscribes on each new connection to a member. */
    private final class Link implements FrameHandler {
        private final String mAddress;

        Link(String address) {
            mAddress = address;
        }

        @Override
        public void received(WireConnection connection, Frame frame) {
            // Members send nothing but updates, which answer the watch.
        }

        @Override
        public void opened(WireConnection connection) {
            mControlThread.execute(() -> FleetFollower.this.opened(connection, mAddress));
        }
    }

    /** Receives the updates of one member. */
    private final class Updates implements AnswerHandler {
        private final WireConnection mConnection;
        private final String mAddress;

        Updates(WireConnection connection, String address) {
            mConnection = connection;
            mAddress = address;
        }

        @Override
        public void answered(Frame frame) {
            mControlThread.execute(() -> take(frame));
        }

        private void take(Frame frame) {
            if (frame.hasEngineNotices()) {
                mEngineListener.accept(frame.getEngineNotices());
            } else if (frame.hasMemberNotice()) {
                takeMembers(MemberList.of(frame.getMemberNotice()));
                connect();
            } else {
                updated(mConnection, frame.getFleetUpdate());
            }
        }

        @Override
        public void lost(IbisstandException cause) {
            mControlThread.execute(
                    () -> FleetFollower.this.lost(mConnection, mAddress, cause.getMessage()));
        }
    }
}
