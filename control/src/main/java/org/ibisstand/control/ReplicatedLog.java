package org.ibisstand.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.consensus.ConsensusMember;
import org.ibisstand.consensus.Entry;
import org.ibisstand.consensus.EntryContent;
import org.ibisstand.consensus.Input;
import org.ibisstand.consensus.Limits;
import org.ibisstand.consensus.Member;
import org.ibisstand.consensus.MemberIdentifier;
import org.ibisstand.consensus.MemberStatus;
import org.ibisstand.consensus.Membership;
import org.ibisstand.consensus.MembershipChange;
import org.ibisstand.consensus.MessageCodec;
import org.ibisstand.consensus.Output;
import org.ibisstand.consensus.Snapshot;
import org.ibisstand.consensus.Timing;
import org.ibisstand.consensus.VoterPolicy;
import org.ibisstand.control.message.DepartureReply;
import org.ibisstand.control.message.MemberPayload;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.storage.Disk;
import org.ibisstand.storage.FolderDisk;
import org.ibisstand.storage.LogStore;
import org.ibisstand.storage.OpenedLog;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.ConsensusEnvelope;
import org.tinylog.Logger;

/**
 * The log of a control member, stored on its disk and replicated by consensus.
 *
 * <p>Connects the state machine of the consensus module to the control thread, a storage thread and
 * the connections to the other members. While the disk refuses writes, it acknowledges nothing that
 * is not written, and commits only what the other members have on disk; the same holds after a
 * failed sync. It says nothing to the others until what it read at the start is known to be
 * durable. After the loss of synced content, or after a fault that may have left its state
 * inconsistent, it handles no requests until the process is restarted.
 */
public final class ReplicatedLog implements Log {
    private static final int SEGMENT_BYTES = 8 << 20;
    private static final long MAXIMUM_BYTES_BETWEEN_SNAPSHOTS = 8L << 20;
    private static final int TICKS_PER_HEARTBEAT = 2;

    private final StateMachine mStateMachine;
    private final LogContext mContext;
    private final MemberIdentifier mSelf;
    private final ConsensusMember mConsensus;
    private final StorageThread mStorage;
    private final MemberConnections mConnections;
    private final MemberDiscovery mDiscovery;
    private final PendingRequests mPendingRequests = new PendingRequests();
    private final RequestBatcher mBatcher;
    private final VoterChanges mVoterChanges;
    private final MemberDeparture mDeparture;
    private final ScheduledFuture<?> mTickTask;
    private Membership mMembership;
    private final Set<CompletableFuture<byte[]>> mOpenProposals = new HashSet<>();
    private Set<CompletableFuture<byte[]>> mOpenAtLastCheck = Set.of();
    private Instant mNextOverdueCheck = Instant.MIN;
    private Optional<IbisstandException> mFailure = Optional.empty();
    private boolean mIsDurable;
    private long mAppliedIndex;
    private long mBytesSinceSnapshot;

    private ReplicatedLog(StateMachine stateMachine, LogContext context, OpenedLog opened) {
        ControlSettings settings = context.settings();
        mStateMachine = stateMachine;
        mContext = context;
        mSelf = MemberIdentifier.of(settings.member(), opened.recovered().identity());
        mConsensus =
                ConsensusMember.recover(
                        mSelf,
                        opened.recovered(),
                        timing(settings.timing()),
                        Limits.DEFAULT,
                        new SecureRandom(),
                        now());
        mConsensus.snapshot().ifPresent(this::restore);
        mMembership = mConsensus.status().membership();
        mStorage =
                new StorageThread(
                        opened.store(),
                        sequence -> runOnControlThread(() -> persisted(sequence)),
                        refusal -> runOnControlThread(() -> failOverdueProposals(refusal)),
                        failure -> runOnControlThread(() -> fail(failure)));
        mConnections =
                new MemberConnections(
                        mSelf, context.wire(), context.controlThread(), this::received);
        mDiscovery =
                new MemberDiscovery(
                        new GroupFormation(settings, mSelf, context.address()), mConnections);
        mBatcher = new RequestBatcher(context.controlThread(), mPendingRequests, this::step);
        VoterPolicy voterPolicy = voterPolicy(settings.timing());
        mVoterChanges =
                new VoterChanges(
                        voterPolicy, this::changeMembership, mConsensus::status, context.clock());
        mDeparture =
                new MemberDeparture(
                        voterPolicy,
                        mVoterChanges,
                        notice -> mConnections.send(notice.address(), notice.payload()));
        long tickMilliseconds = settings.timing().heartbeatMilliseconds() / TICKS_PER_HEARTBEAT;
        mTickTask =
                context.controlThread()
                        .scheduleWithFixedDelay(
                                this::tick, 0, tickMilliseconds, TimeUnit.MILLISECONDS);
        mStorage.start();
    }

    /**
     * Opens the log in the data folder of the settings.
     *
     * @param stateMachine the state machine that committed commands are applied to
     * @param context the services of the daemon that the log uses
     * @throws IbisstandException DATA_FOLDER_UNUSABLE, STORAGE_DAMAGED or STORAGE_FAILED if the
     *     folder cannot be used
     */
    public static ReplicatedLog open(StateMachine stateMachine, LogContext context) {
        return open(
                stateMachine, context, FolderDisk.open(Path.of(context.settings().dataFolder())));
    }

    static ReplicatedLog open(StateMachine stateMachine, LogContext context, Disk disk) {
        try {
            OpenedLog opened = LogStore.open(disk, SEGMENT_BYTES, new SecureRandom());
            return new ReplicatedLog(stateMachine, context, opened);
        } catch (IbisstandException e) {
            disk.close();
            throw e;
        }
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        Optional<IbisstandException> refusal = refusal();
        if (refusal.isPresent()) {
            return CompletableFuture.failedFuture(refusal.get());
        }
        if (mStorage.isRefused() && !othersCommit()) {
            return CompletableFuture.failedFuture(
                    new IbisstandException(
                            ErrorCode.STORAGE_REFUSED,
                            "the disk of this member refuses writes; nothing was changed"));
        }
        CompletableFuture<byte[]> proposal = mBatcher.propose(command);
        mOpenProposals.add(proposal);
        proposal.whenComplete((result, failure) -> mOpenProposals.remove(proposal));
        return proposal;
    }

    /**
     * Returns whether the other members commit without the disk of this one. The commands that this
     * member could not write yet stay in memory, so their size is limited.
     */
    private boolean othersCommit() {
        MemberStatus status = mConsensus.status();
        return (!status.leading() || status.commitIndex() == status.lastIndex())
                && mBytesSinceSnapshot < MAXIMUM_BYTES_BETWEEN_SNAPSHOTS;
    }

    /**
     * Fails the proposals that have waited for a whole election timeout while the disk refused
     * writes. The other members may commit them without this disk, but no later than that, or the
     * leader loses its majority.
     */
    private void failOverdueProposals(IbisstandException refusal) {
        if (now().isBefore(mNextOverdueCheck)) {
            return;
        }
        long timeout = mContext.settings().timing().electionTimeoutMilliseconds();
        mNextOverdueCheck = now().plusMillis(timeout);
        IbisstandException failure =
                new IbisstandException(
                        ErrorCode.OUTCOME_UNKNOWN,
                        "the disk of this member refuses writes: " + refusal.getMessage(),
                        refusal);
        mOpenAtLastCheck.forEach(proposal -> proposal.completeExceptionally(failure));
        mOpenAtLastCheck = Set.copyOf(mOpenProposals);
    }

    @Override
    public boolean isStorageRefused() {
        return mStorage.isRefused();
    }

    @Override
    public CompletableFuture<Void> confirmRead() {
        return refusal()
                .<CompletableFuture<Void>>map(CompletableFuture::failedFuture)
                .orElseGet(mBatcher::confirmRead);
    }

    @Override
    public LogStatus status() {
        LogStatus status = StatusConverter.toLogStatus(mConsensus.status(), mAppliedIndex);
        return mFailure.isPresent() ? status.withoutLeader() : status;
    }

    @Override
    public Optional<IbisstandException> failure() {
        return mFailure;
    }

    @Override
    public CompletableFuture<Void> addMember(LogMember member, boolean established) {
        Optional<IbisstandException> refusal = refusal();
        if (refusal.isPresent()) {
            return CompletableFuture.failedFuture(refusal.get());
        }
        CompletableFuture<Void> done = mDiscovery.addMember(member, established, now());
        mDiscovery.tickAdditions(mConsensus.status(), now(), this::changeMembership);
        return done;
    }

    @Override
    public CompletableFuture<Void> removeMember(String name) {
        Optional<IbisstandException> refusal = refusal();
        if (refusal.isPresent()) {
            return CompletableFuture.failedFuture(refusal.get());
        }
        List<MemberIdentifier> matches =
                mMembership.members().keySet().stream()
                        .filter(member -> member.value().equals(name) || member.name().equals(name))
                        .toList();
        if (matches.size() > 1) {
            return CompletableFuture.failedFuture(
                    new IbisstandException(
                            ErrorCode.REQUEST_MALFORMED,
                            "the name is ambiguous; use one of " + matches + " in full"));
        }
        MemberIdentifier member =
                matches.isEmpty() ? new MemberIdentifier(name) : matches.getFirst();
        return changeMembership(new MembershipChange.Decommission(member))
                .thenApply(result -> null);
    }

    @Override
    public CompletableFuture<Void> depart() {
        return refusal().isPresent()
                ? CompletableFuture.completedFuture(null)
                : mDeparture.begin(mConsensus.status(), now());
    }

    @Override
    public void received(WireConnection connection, ConsensusEnvelope envelope) {
        if (refusal().isPresent() || envelope.getMember().isEmpty()) {
            return;
        }
        MemberIdentifier from = new MemberIdentifier(envelope.getMember());
        mConnections.setInbound(from, connection);
        MemberPayload payload = parse(envelope.getPayload());
        switch (payload.getBodyCase()) {
            case CONSENSUS -> receive(from, MessageCodec.decode(payload.getConsensus()));
            case INTRODUCTION_REQUEST ->
                    mDiscovery.sendIntroduction(connection, mConsensus.status());
            case INTRODUCTION ->
                    mDiscovery.receiveIntroduction(
                            from, payload.getIntroduction(), mConsensus.status(), now());
            case DEPARTURE -> receiveDeparture(from, connection);
            case DEPARTURE_REPLY -> mDeparture.receiveReply(mConsensus.status());
            case BODY_NOT_SET ->
                    throw new IbisstandException(
                            ErrorCode.FRAME_INVALID, "a member sent an empty payload");
        }
    }

    @Override
    public void close() {
        stop(new IbisstandException(ErrorCode.OUTCOME_UNKNOWN, "this member is stopping"));
        mStorage.close();
    }

    private void receiveDeparture(MemberIdentifier from, WireConnection connection) {
        MemberStatus status = mConsensus.status();
        mVoterChanges.departs(from);
        if (status.leading() && !status.membership().isVoter(from) && !mVoterChanges.isPending()) {
            DepartureReply reply = DepartureReply.getDefaultInstance();
            mConnections.send(
                    connection, MemberPayload.newBuilder().setDepartureReply(reply).build());
        }
    }

    /**
     * Drops messages for other members: a member that lost its disk may have been replaced by one
     * with another identity at the same address.
     */
    private void receive(MemberIdentifier from, MessageCodec.Addressed addressed) {
        if (addressed.receiver().equals(mSelf)) {
            step(new Input.Receive(from, addressed.message()));
        }
    }

    /** Returns why no request is handled now, if none is. */
    private Optional<IbisstandException> refusal() {
        if (mFailure.isEmpty() && !mIsDurable) {
            return Optional.of(
                    new IbisstandException(
                            ErrorCode.NO_QUORUM,
                            "this member waits for its disk before it takes part"));
        }
        return mFailure;
    }

    private void persisted(long sequence) {
        mIsDurable = true;
        step(new Input.Persisted(sequence));
    }

    private void tick() {
        if (refusal().isPresent()) {
            return;
        }
        step(new Input.Tick());
        if (mFailure.isEmpty()) {
            MemberStatus status = mConsensus.status();
            mDiscovery.findGroupToForm(status, now()).ifPresent(this::formGroup);
            mDiscovery.tickAdditions(status, now(), this::changeMembership);
            mVoterChanges.tick();
            mDeparture.tick(status, now());
        }
    }

    private void formGroup(Membership membership) {
        Logger.info("event=group_formed members={}", membership.members().keySet());
        step(new Input.Form(membership, mStateMachine.snapshot()));
    }

    private CompletableFuture<byte[]> changeMembership(MembershipChange change) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        long ticket = mPendingRequests.add(future);
        runOnControlThread(() -> step(new Input.ChangeMembership(ticket, change)));
        return future;
    }

    private void step(Input input) {
        if (mFailure.isPresent()) {
            return;
        }
        try {
            mConsensus.step(input, now()).forEach(this::perform);
            compactIfDue();
        } catch (RuntimeException e) {
            fail(
                    new IbisstandException(
                            ErrorCode.INTERNAL, "the log stopped after an unexpected error", e));
        }
    }

    private void perform(Output output) {
        switch (output) {
            case Output.Send send -> send(send);
            case Output.Persist persist -> mStorage.write(persist);
            case Output.Apply apply -> apply(apply.entry(), apply.ticket());
            case Output.Restore restore -> restore(restore.snapshot());
            case Output.ReadConfirmed read -> mPendingRequests.complete(read.ticket(), new byte[0]);
            case Output.AlreadyChanged changed ->
                    mPendingRequests.complete(changed.ticket(), new byte[0]);
            case Output.Refused refused ->
                    mPendingRequests.fail(refused.ticket(), toException(refused));
            case Output.StatusChanged changed -> statusChanged(changed.status());
        }
    }

    private void send(Output.Send send) {
        ByteString message = MessageCodec.encode(send.to(), send.message());
        MemberPayload payload = MemberPayload.newBuilder().setConsensus(message).build();
        mMembership
                .member(send.to())
                .map(Member::address)
                .ifPresentOrElse(
                        address -> mConnections.send(address, payload),
                        () -> mConnections.sendToInbound(send.to(), payload));
    }

    private void restore(Snapshot snapshot) {
        mStateMachine.restore(snapshot.state());
        mAppliedIndex = snapshot.index();
    }

    private void apply(Entry entry, OptionalLong ticket) {
        byte[] result = new byte[0];
        if (entry.content() instanceof EntryContent.Command command) {
            result = mStateMachine.apply(command.data());
            mBytesSinceSnapshot += command.data().length;
        }
        mAppliedIndex = entry.index();
        if (ticket.isPresent()) {
            mPendingRequests.complete(ticket.getAsLong(), result);
        }
    }

    /**
     * Compacts the log after enough entries, but not before their commands have half the size of
     * the last snapshot, so that the cost of snapshots stays in proportion to that of the commands,
     * however large the state is; also compacts once the commands reach a fixed size.
     */
    private void compactIfDue() {
        Optional<Snapshot> snapshot = mConsensus.snapshot();
        long entries = mAppliedIndex - snapshot.map(Snapshot::index).orElse(0L);
        long stateBytes = snapshot.map(previous -> previous.state().length).orElse(0);
        boolean hasEnoughCommandBytes = mBytesSinceSnapshot >= stateBytes / 2;
        int minimumEntries = mContext.settings().limits().snapshotAfterEntries();
        boolean isDue =
                (entries >= minimumEntries && hasEnoughCommandBytes)
                        || mBytesSinceSnapshot >= MAXIMUM_BYTES_BETWEEN_SNAPSHOTS;
        if (isDue && !mStorage.isRefused()) {
            mBytesSinceSnapshot = 0;
            step(new Input.Compact(mAppliedIndex, mStateMachine.snapshot()));
        }
    }

    private void statusChanged(MemberStatus status) {
        Logger.info(
                "event=log_status member={} term={} leader={} members={}",
                mSelf,
                status.term(),
                status.leader().map(MemberIdentifier::value).orElse("none"),
                status.membership().members().keySet());
        mMembership = status.membership();
        mConnections.retainOnly(mDiscovery.neededAddresses(status));
    }

    private void fail(IbisstandException failure) {
        LogLine.error("log_failed")
                .with("member", mSelf)
                .code(failure.code())
                .cause(failure)
                .write();
        stop(failure);
    }

    private void stop(IbisstandException failure) {
        mFailure = mFailure.or(() -> Optional.of(failure));
        mTickTask.cancel(false);
        mPendingRequests.failAll(failure);
        mBatcher.failReads(failure);
        mDiscovery.failAdditions(failure);
        mDeparture.stop();
        mConnections.close();
    }

    private Instant now() {
        return mContext.clock().instant();
    }

    private void runOnControlThread(Runnable task) {
        mContext.controlThread().execute(task);
    }

    private static IbisstandException toException(Output.Refused refused) {
        boolean hasNoKnownLeader =
                refused.code() == ErrorCode.NOT_LEADER && refused.leader().isEmpty();
        ErrorCode code = hasNoKnownLeader ? ErrorCode.NO_QUORUM : refused.code();
        String hint =
                refused.leader().map(leader -> "; the leader is at " + leader.address()).orElse("");
        return new IbisstandException(code, refused.message() + hint);
    }

    private static Timing timing(ControlSettings.Timing timing) {
        return new Timing(
                Duration.ofMillis(timing.electionTimeoutMilliseconds()),
                Duration.ofMillis(timing.heartbeatMilliseconds()));
    }

    private static VoterPolicy voterPolicy(ControlSettings.Timing timing) {
        return new VoterPolicy(
                Duration.ofMillis(timing.electionTimeoutMilliseconds()),
                Optional.of(Duration.ofMillis(timing.replacementSilenceMilliseconds()))
                        .filter(Duration::isPositive));
    }

    private static MemberPayload parse(ByteString payload) {
        try {
            return MemberPayload.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            throw new IbisstandException(
                    ErrorCode.FRAME_INVALID, "a member sent a payload that cannot be parsed", e);
        }
    }
}
