package org.ibisstand.control;

import com.google.protobuf.ByteString;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.ibisstand.base.LogLine;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.NameWeights;
import org.ibisstand.control.message.PutRouting;
import org.ibisstand.fleet.NoticePace;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.FleetWatch;
import org.ibisstand.wire.message.JoinRequest;
import org.ibisstand.wire.message.ServerNotice;
import org.ibisstand.wire.message.ServerRecord;

/**
 * What a member of control serves to operators, backend servers, entries and agents about routing:
 * the routing configuration of the highest version, named weights, and the servers that announced
 * themselves. The public methods may be called from any thread.
 */
public final class FleetControl {
    /** Between requests to be added to the group; a few heartbeats of the leader. */
    private static final Duration JOIN_INTERVAL = Duration.ofSeconds(1);

    /** The replicated log serves groups of up to this many voters. */
    private static final int MAXIMUM_VOTERS = 7;

    private final ControlSettings mSettings;
    private final ScheduledExecutorService mControlThread;
    private final ControlState mState;
    private final Log mLog;
    private final Proposals mProposals;
    private final Clock mClock;
    private final ServerDirectory mDirectory;
    private final FleetWatchers mWatchers;
    private final FleetPeers mPeers;
    private final String mAddress;
    private final Map<String, EngineNotice> mEngines = new HashMap<>();
    private final Set<String> mLoading = new HashSet<>();
    private final Set<String> mJoining = new HashSet<>();
    private Instant mNextJoin;
    private Instant mNextNotices = Instant.MIN;
    private long mLoggedVersion;
    private volatile Optional<String> mLeader = Optional.empty();

    FleetControl(
            ControlSettings settings,
            ScheduledExecutorService controlThread,
            ControlState state,
            Log log,
            Proposals proposals,
            Clock clock,
            WireContext wire,
            String address) {
        mSettings = settings;
        mControlThread = controlThread;
        mState = state;
        mLog = log;
        mProposals = proposals;
        mClock = clock;
        mAddress = address;
        Duration interval = Duration.ofMillis(settings.timing().announcementMilliseconds());
        mDirectory = ServerDirectory.create(interval, clock.instant());
        mWatchers = new FleetWatchers(state, mDirectory, this::memberAddresses, clock);
        mPeers = new FleetPeers(wire, controlThread, mDirectory::records);
        mNextJoin = clock.instant().plus(JOIN_INTERVAL);
    }

    /**
     * Puts a routing configuration in force unless a higher or equal version is.
     *
     * @param version the version that the operator gave
     * @param json the configuration in the product's form
     * @param source the document to return to readers
     * @return the version in force once the change is durable at a majority; fails with NOT_LEADER,
     *     NO_QUORUM or OUTCOME_UNKNOWN
     */
    public CompletableFuture<Long> putRouting(long version, byte[] json, byte[] source) {
        PutRouting put =
                PutRouting.newBuilder()
                        .setVersion(version)
                        .setJson(ByteString.copyFrom(json))
                        .setSource(ByteString.copyFrom(source))
                        .build();
        return propose(Command.newBuilder().setPutRouting(put))
                .whenComplete((inForce, failure) -> logChange("routing", version, failure));
    }

    /**
     * Names the weights that all replicas of a model are to load.
     *
     * @param model the model
     * @param version the version; a lower one than the newest changes nothing
     * @return the newest version, once durable; fails as {@link #putRouting} does
     */
    public CompletableFuture<Long> nameWeights(String model, long version) {
        NameWeights named = NameWeights.newBuilder().setModel(model).setVersion(version).build();
        return propose(Command.newBuilder().setNameWeights(named))
                .whenComplete((inForce, failure) -> logChange("weights", version, failure));
    }

    /**
     * Returns the operator's document of the version in force, confirmed by a quorum; empty before
     * the first. Fails with NOT_LEADER or NO_QUORUM if this member cannot be sure.
     */
    public CompletableFuture<Optional<byte[]>> readRouting() {
        return onControlThread(
                () ->
                        mLog.confirmRead()
                                .thenApply(
                                        confirmed ->
                                                mState.routing().version() == 0
                                                        ? Optional.empty()
                                                        : Optional.of(
                                                                mState.routing()
                                                                        .source()
                                                                        .toByteArray())));
    }

    /** Takes what a backend server said of itself; completes once watchers have been told. */
    public CompletableFuture<Void> announceServer(ServerRecord record) {
        return onControlThread(
                () -> {
                    take(record, true);
                    return CompletableFuture.completedFuture(null);
                });
    }

    /** Returns what is known of a server that announced itself. */
    public CompletableFuture<Optional<ServerRecord>> findServer(String server) {
        return onControlThread(() -> CompletableFuture.completedFuture(mDirectory.find(server)));
    }

    /** Returns the wire address of the leader, while this member is in touch with one. */
    public Optional<String> leaderAddress() {
        return mLeader;
    }

    void watch(WireConnection connection, long correlation, FleetWatch watch) {
        LogLine.info("watcher_added").with("watcher", watch.getProcess()).write();
        mWatchers.watch(connection, correlation, watch);
    }

    void closed(WireConnection connection) {
        mWatchers.closed(connection);
    }

    /** Passes on what agents say of their engines, gathered for a tick unless it is urgent. */
    void engines(EngineNotices notices) {
        EngineNotices.Builder urgent = EngineNotices.newBuilder();
        for (EngineNotice notice : notices.getEnginesList()) {
            mEngines.put(notice.getAddress(), notice);
            if (notice.getLoading() != mLoading.contains(notice.getAddress())) {
                urgent.addEngines(notice);
            }
            if (notice.getLoading()) {
                mLoading.add(notice.getAddress());
            } else {
                mLoading.remove(notice.getAddress());
            }
        }
        if (urgent.getEnginesCount() > 0) {
            mWatchers.tell(urgent.build());
        }
    }

    private void tellEngines(Instant now) {
        mNextNotices = now.plus(NoticePace.pause(mDirectory.records().size()));
        if (!mEngines.isEmpty()) {
            mWatchers.tell(EngineNotices.newBuilder().addAllEngines(mEngines.values()).build());
            mEngines.clear();
        }
    }

    void noticed(ServerNotice notice) {
        notice.getServersList().forEach(record -> take(record, false));
    }

    /** Adds a member that lost its disk, or a new one, if this member leads and may add it. */
    void joinRequested(JoinRequest request) {
        LogStatus status = mLog.status();
        boolean replaces =
                status.members().stream()
                        .anyMatch(
                                member ->
                                        member.name().startsWith(request.getMember() + ".")
                                                || member.address().equals(request.getAddress()));
        boolean hasRoom = status.members().size() < MAXIMUM_VOTERS;
        if (!status.leads() || !(replaces || hasRoom) || !mJoining.add(request.getMember())) {
            return;
        }
        LogLine.info("member_joins")
                .with("member", request.getMember())
                .with("address", request.getAddress())
                .with("replaces", replaces)
                .write();
        mLog.addMember(new LogMember(request.getMember(), request.getAddress(), false))
                .whenComplete((done, failure) -> joined(request.getMember(), failure));
    }

    void tick() {
        Instant now = mClock.instant();
        LogStatus status = mLog.status();
        mLeader = status.leads() ? Optional.of(mAddress) : status.leaderAddress();
        mPeers.keep(peerAddresses(status));
        mDirectory.tick(now);
        boolean isOutside =
                status.members().stream().noneMatch(one -> one.address().equals(mAddress));
        if (mSettings.join() && isOutside && !now.isBefore(mNextJoin)) {
            mNextJoin = now.plus(JOIN_INTERVAL);
            mPeers.askToJoin(mSettings.member(), mAddress);
        }
        if (mState.routing().version() != mLoggedVersion) {
            mLoggedVersion = mState.routing().version();
            LogLine.info("routing_in_force").with("version", mLoggedVersion).write();
        }
        mWatchers.flush();
        if (!now.isBefore(mNextNotices)) {
            tellEngines(now);
        }
    }

    void close() {
        mPeers.close();
    }

    private void take(ServerRecord record, boolean isDirect) {
        long before = mDirectory.revision();
        boolean isNews = mDirectory.heard(record, mClock.instant());
        if (mDirectory.revision() != before) {
            LogLine.info("server_heard")
                    .with("server", record.getServer())
                    .with("service", record.getService())
                    .with("address", record.getAddress())
                    .with("state", record.getState())
                    .with("sequence", record.getSequence())
                    .with("direct", isDirect)
                    .write();
            mWatchers.flush();
        }
        if (isNews && isDirect) {
            mPeers.tell(record);
        }
    }

    private void joined(String member, Throwable failure) {
        mJoining.remove(member);
        LogLine line =
                failure == null
                        ? LogLine.info("member_joined")
                        : LogLine.warning("member_not_joined");
        line.with("member", member);
        Optional.ofNullable(failure).ifPresent(line::cause);
        line.write();
    }

    private static void logChange(String kind, long version, Throwable failure) {
        LogLine line =
                failure == null
                        ? LogLine.info("change_committed")
                        : LogLine.warning("change_not_committed");
        line.with("kind", kind).with("version", version);
        Optional.ofNullable(failure).ifPresent(cause -> line.with("reason", cause.getMessage()));
        line.write();
    }

    private CompletableFuture<Long> propose(Command.Builder command) {
        return onControlThread(
                () ->
                        mProposals
                                .propose(command)
                                .thenApply(
                                        result -> {
                                            mWatchers.flush();
                                            return result.getRouting().getVersion();
                                        }));
    }

    private <T> CompletableFuture<T> onControlThread(Supplier<CompletableFuture<T>> work) {
        CompletableFuture<T> result = new CompletableFuture<>();
        mControlThread.execute(
                () ->
                        work.get()
                                .whenComplete(
                                        (value, failure) -> {
                                            if (failure == null) {
                                                result.complete(value);
                                            } else {
                                                result.completeExceptionally(failure);
                                            }
                                        }));
        return result;
    }

    private List<String> memberAddresses() {
        return mLog.status().members().stream().map(LogMember::address).sorted().toList();
    }

    private Set<String> peerAddresses(LogStatus status) {
        Set<String> addresses = new HashSet<>();
        status.members().forEach(member -> addresses.add(member.address()));
        if (status.members().isEmpty()) {
            mSettings.members().forEach(member -> addresses.add(member.address().toString()));
        }
        addresses.remove(mAddress);
        return addresses;
    }
}
