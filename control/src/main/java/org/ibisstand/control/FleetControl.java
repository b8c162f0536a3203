package org.ibisstand.control;

import com.google.protobuf.UnsafeByteOperations;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import java.util.function.Supplier;
import org.ibisstand.base.LogLine;
import org.ibisstand.consensus.VoterPolicy;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.control.message.NameWeights;
import org.ibisstand.control.message.PutRouting;
import org.ibisstand.fleet.CrashReportCodec;
import org.ibisstand.fleet.NoticePace;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.FleetWatch;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.JoinRequest;
import org.ibisstand.wire.message.MemberNotice;
import org.ibisstand.wire.message.ServerNotice;
import org.ibisstand.wire.message.ServerRecord;

/**
 * Serves routing data of a control member to operators, backend servers, entries and agents: the
 * routing configuration of the highest version, the weights versions to load, and the backend
 * servers that announced themselves. The public methods may be called from any thread.
 */
public final class FleetControl {
    /** Interval between requests to be added to the group; a few heartbeats of the leader. */
    private static final Duration JOIN_INTERVAL = Duration.ofSeconds(1);

    private final ControlSettings mSettings;
    private final ScheduledExecutorService mControlThread;
    private final ControlState mState;
    private final Log mLog;
    private final CommandProposer mProposer;
    private final RoutingChanges mRoutingChanges;
    private final Clock mClock;
    private final ServerDirectory mDirectory;
    private final FleetWatchers mWatchers;
    private final FleetPeers mPeers;
    private final MemberExchange mMembers;
    private final CrashReportRelay mCrashReports;
    private final String mAddress;
    private final Map<String, EngineNotice> mPendingNotices = new HashMap<>();
    private final Set<String> mLoadingEngines = new HashSet<>();
    private final Set<String> mJoiningMembers = new HashSet<>();
    private Instant mNextJoinTime;
    private boolean mIsDeparting;
    private Instant mNextNoticeTime = Instant.MIN;
    private long mLoggedRoutingVersion;
    private volatile Optional<String> mLeaderAddress = Optional.empty();

    FleetControl(
            ControlSettings settings,
            ScheduledExecutorService controlThread,
            ControlState state,
            Log log,
            CommandProposer proposer,
            Clock clock,
            WireContext wire,
            String address) {
        mSettings = settings;
        mControlThread = controlThread;
        mState = state;
        mLog = log;
        mProposer = proposer;
        mRoutingChanges =
                new RoutingChanges(
                        routing -> mProposer.propose(Command.newBuilder().setPutRouting(routing)));
        mClock = clock;
        mAddress = address;
        Duration interval = Duration.ofMillis(settings.timing().announcementMilliseconds());
        mDirectory = ServerDirectory.create(interval, clock.instant());
        mPeers = new FleetPeers(wire, controlThread, this::framesForNewPeer, this::receiveFromPeer);
        mMembers =
                new MemberExchange(
                        mPeers,
                        () -> mLog.status().memberList(),
                        mAddress,
                        settings.members().stream().map(one -> one.address().toString()).toList(),
                        clock);
        mWatchers = new FleetWatchers(state, mDirectory, mMembers::known, clock);
        mCrashReports =
                new CrashReportRelay(
                        notices -> mPeers.broadcast(Frame.newBuilder().setEngineNotices(notices)),
                        mAddress,
                        this::memberAddresses,
                        clock);
        mNextJoinTime = clock.instant().plus(JOIN_INTERVAL);
    }

    /**
     * Puts a routing configuration in force unless an equal or higher version already is.
     *
     * @param version the version that the operator chose
     * @param json the configuration as JSON in the format of this project, not changed any more
     * @param source the operator's document, returned unchanged to readers and not changed any more
     * @return the version in force once the change is committed; fails with NOT_LEADER, NO_QUORUM,
     *     OVERLOADED or OUTCOME_UNKNOWN
     */
    public CompletableFuture<Long> putRouting(long version, byte[] json, byte[] source) {
        PutRouting routing =
                PutRouting.newBuilder()
                        .setVersion(version)
                        .setJson(UnsafeByteOperations.unsafeWrap(json))
                        .setSource(UnsafeByteOperations.unsafeWrap(source))
                        .build();
        return callOnControlThread(() -> versionOf(mRoutingChanges.add(routing)))
                .whenComplete((versionInForce, failure) -> logChange("routing", version, failure));
    }

    /**
     * Sets the weights version that all replicas of a model are to load.
     *
     * @param model the name of the model
     * @param version the weights version; one below the newest changes nothing
     * @return the newest version once the change is committed; fails as {@link #putRouting} does
     */
    public CompletableFuture<Long> nameWeights(String model, long version) {
        NameWeights weights = NameWeights.newBuilder().setModel(model).setVersion(version).build();
        return callOnControlThread(
                        () ->
                                versionOf(
                                        mProposer.propose(
                                                Command.newBuilder().setNameWeights(weights))))
                .whenComplete((newestVersion, failure) -> logChange("weights", version, failure));
    }

    /**
     * Returns the operator's document of the version in force, confirmed by a quorum; empty before
     * the first version. Fails with NOT_LEADER or NO_QUORUM if this member cannot confirm that its
     * version is current.
     */
    public CompletableFuture<Optional<byte[]>> readRouting() {
        return callOnControlThread(
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

    /**
     * Handles the announcement of a backend server; completes once the update is sent to the
     * watchers.
     */
    public CompletableFuture<Void> announceServer(ServerRecord record) {
        return callOnControlThread(
                () -> {
                    updateServer(record, true);
                    return CompletableFuture.completedFuture(null);
                });
    }

    /** Returns the newest record of a backend server, if it announced itself. */
    public CompletableFuture<Optional<ServerRecord>> findServer(String server) {
        return callOnControlThread(
                () -> CompletableFuture.completedFuture(mDirectory.find(server)));
    }

    /** Returns what this member knows of crashes of engines. */
    CompletableFuture<EngineNotices> crashReports() {
        return callOnControlThread(
                () -> CompletableFuture.completedFuture(mCrashReports.notices()));
    }

    /**
     * Replaces the wire addresses of the settings, from which a member that lost its disk starts,
     * and to which the other members tell of the group.
     */
    public void follow(Collection<String> seeds) {
        mControlThread.execute(() -> mMembers.follow(seeds));
    }

    /** Asks for no place in the group any more, and gives back the vote of this member. */
    CompletableFuture<Void> depart() {
        return callOnControlThread(
                () -> {
                    mIsDeparting = true;
                    return mLog.depart();
                });
    }

    /** Returns the wire address of the leader while this member knows one. */
    public Optional<String> leaderAddress() {
        return mLeaderAddress;
    }

    void watch(WireConnection connection, long correlation, FleetWatch watch) {
        LogLine.info("watcher_added").with("watcher", watch.getProcess()).write();
        mWatchers.watch(connection, correlation, watch);
        if (!watch.getProcess().isEmpty()) {
            mCrashReports.watch(connection, correlation, watch.getProcess());
        }
    }

    void closed(WireConnection connection) {
        mWatchers.closed(connection);
        mCrashReports.closed(connection);
    }

    /**
     * Sends engine states from agents to the watchers: at once if an engine starts or ends loading
     * weights, otherwise together with the next batch. Merges crash reports of entries and members.
     */
    void receiveEngineNotices(EngineNotices notices) {
        CrashReportCodec.decode(notices).ifPresent(mCrashReports::receive);
        EngineNotices.Builder urgent = EngineNotices.newBuilder();
        for (EngineNotice notice : notices.getEnginesList()) {
            mPendingNotices.put(notice.getAddress(), notice);
            if (notice.getLoading() != mLoadingEngines.contains(notice.getAddress())) {
                urgent.addEngines(notice);
            }
            if (notice.getLoading()) {
                mLoadingEngines.add(notice.getAddress());
            } else {
                mLoadingEngines.remove(notice.getAddress());
            }
        }
        if (urgent.getEnginesCount() > 0) {
            mWatchers.sendEngineNotices(urgent.build());
        }
    }

    private void sendEngineNotices(Instant now) {
        mNextNoticeTime = now.plus(NoticePace.pause(mDirectory.records().size()));
        if (!mPendingNotices.isEmpty()) {
            mWatchers.sendEngineNotices(
                    EngineNotices.newBuilder().addAllEngines(mPendingNotices.values()).build());
            mPendingNotices.clear();
        }
    }

    void receiveMemberNotice(WireConnection connection, MemberNotice notice) {
        mMembers.receive(connection, notice);
    }

    void receiveServerNotice(ServerNotice notice) {
        notice.getServersList().forEach(record -> updateServer(record, false));
    }

    /**
     * If this member leads, adds a member that replaces one with a lost disk, or a new one while
     * the group has room.
     */
    void receiveJoinRequest(JoinRequest request) {
        LogStatus status = mLog.status();
        boolean isReplacement =
                status.members().stream()
                        .anyMatch(
                                member ->
                                        member.name().startsWith(request.getMember() + ".")
                                                || member.address().equals(request.getAddress()));
        boolean hasRoom = status.members().size() < VoterPolicy.MAXIMUM_MEMBERS;
        if (!status.leads()
                || !(isReplacement || hasRoom)
                || !mJoiningMembers.add(request.getMember())) {
            return;
        }
        LogLine.info("member_joins")
                .with("member", request.getMember())
                .with("address", request.getAddress())
                .with("replaces", isReplacement)
                .with("first_start", request.getFirstStart())
                .write();
        LogMember member = new LogMember(request.getMember(), request.getAddress(), false);
        mLog.addMember(member, request.getFirstStart())
                .whenComplete((done, failure) -> finishJoin(request.getMember(), failure));
    }

    void tick() {
        Instant now = mClock.instant();
        LogStatus status = mLog.status();
        mLeaderAddress = status.leads() ? Optional.of(mAddress) : status.leaderAddress();
        mMembers.tick();
        mDirectory.tick(now);
        if (!mIsDeparting && mayBeOutsideGroup(status) && !now.isBefore(mNextJoinTime)) {
            mNextJoinTime = now.plus(JOIN_INTERVAL);
            mPeers.requestJoin(mSettings.member(), mAddress, mSettings.firstStart());
        }
        if (mState.routing().version() != mLoggedRoutingVersion) {
            mLoggedRoutingVersion = mState.routing().version();
            LogLine.info("routing_in_force").with("version", mLoggedRoutingVersion).write();
        }
        mWatchers.flush();
        mCrashReports.flush();
        if (!now.isBefore(mNextNoticeTime)) {
            sendEngineNotices(now);
        }
    }

    void close() {
        mPeers.close();
    }

    /**
     * Merges a server record into the directory; a record that the server sent to this member
     * itself ({@code isDirect}) is also forwarded to the other members.
     */
    private void updateServer(ServerRecord record, boolean isDirect) {
        long previousRevision = mDirectory.revision();
        boolean isNewer = mDirectory.merge(record, mClock.instant());
        if (mDirectory.revision() != previousRevision) {
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
        if (isNewer && isDirect) {
            mPeers.broadcast(
                    Frame.newBuilder()
                            .setServerNotice(ServerNotice.newBuilder().addServers(record)));
        }
    }

    private List<Frame.Builder> framesForNewPeer() {
        ServerNotice servers =
                ServerNotice.newBuilder().addAllServers(mDirectory.records()).build();
        return List.of(
                mMembers.known().toFrame(),
                Frame.newBuilder().setServerNotice(servers),
                Frame.newBuilder().setEngineNotices(mCrashReports.notices()));
    }

    private void receiveFromPeer(WireConnection connection, Frame frame) {
        if (frame.hasMemberNotice()) {
            receiveMemberNotice(connection, frame.getMemberNotice());
        }
    }

    private void finishJoin(String member, Throwable failure) {
        mJoiningMembers.remove(member);
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

    /** Returns the version in force after a change, and sends it to the watchers. */
    private CompletableFuture<Long> versionOf(CompletableFuture<CommandResult> change) {
        return change.thenApply(
                result -> {
                    mWatchers.flush();
                    return result.getRouting().getVersion();
                });
    }

    private <T> CompletableFuture<T> callOnControlThread(Supplier<CompletableFuture<T>> task) {
        return CompletableFuture.supplyAsync(task, mControlThread).thenCompose(Function.identity());
    }

    /**
     * Returns whether this member is outside the group as far as it knows. Where silent members are
     * removed, one without a leader may have been; the leader ignores the request of one that still
     * belongs to the group.
     */
    private boolean mayBeOutsideGroup(LogStatus status) {
        boolean isListed =
                status.members().stream().anyMatch(member -> member.address().equals(mAddress));
        boolean mayBeRemoved =
                mSettings.timing().replacementSilenceMilliseconds() > 0
                        && !status.members().isEmpty()
                        && status.leaderAddress().isEmpty();
        return (mSettings.join() && !isListed) || mayBeRemoved;
    }

    private List<String> memberAddresses() {
        return mLog.status().members().stream().map(LogMember::address).sorted().toList();
    }
}
