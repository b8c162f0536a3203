package org.ibisstand.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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
 * The log of a control member on its disk, replicated by consensus.
 *
 * <p>It joins the state machine of the consensus module with the control thread, a storage thread
 * and connections to the other members. After a disk failure, or a fault that leaves its state in
 * doubt, it answers nothing more until the process is started again.
 */
public final class ReplicatedLog implements Log {
    private static final int SEGMENT_BYTES = 8 << 20;
    private static final long SNAPSHOT_AFTER_BYTES = 8L << 20;
    private static final int TICKS_IN_HEARTBEAT = 2;

    private final StateMachine mStateMachine;
    private final LogContext mContext;
    private final MemberIdentifier mSelf;
    private final ConsensusMember mMember;
    private final StorageThread mStorage;
    private final MemberConnections mConnections;
    private final Introductions mIntroductions;
    private final OpenRequests mRequests = new OpenRequests();
    private final RequestBatches mBatches;
    private final ScheduledFuture<?> mTicks;
    private Membership mMembership;
    private Optional<IbisstandException> mFailure = Optional.empty();
    private long mAppliedIndex;
    private long mBytesSinceSnapshot;

    private ReplicatedLog(StateMachine stateMachine, LogContext context, OpenedLog opened) {
        ControlSettings settings = context.settings();
        mStateMachine = stateMachine;
        mContext = context;
        mSelf = MemberIdentifier.of(settings.member(), opened.recovered().identity());
        mMember =
                ConsensusMember.recover(
                        mSelf,
                        opened.recovered(),
                        timing(settings.timing()),
                        Limits.DEFAULT,
                        new SecureRandom(),
                        now());
        mMember.snapshot().ifPresent(this::restore);
        mMembership = mMember.status().membership();
        mStorage =
                new StorageThread(
                        opened.store(),
                        sequence -> onControlThread(() -> step(new Input.Persisted(sequence))),
                        failure -> onControlThread(() -> fail(failure)));
        mConnections =
                new MemberConnections(
                        mSelf, context.wire(), context.controlThread(), this::received);
        mIntroductions =
                new Introductions(
                        new GroupFormation(settings, mSelf, context.address()), mConnections);
        mBatches = new RequestBatches(context.controlThread(), mRequests, this::step);
        long tickMilliseconds = settings.timing().heartbeatMilliseconds() / TICKS_IN_HEARTBEAT;
        mTicks =
                context.controlThread()
                        .scheduleWithFixedDelay(
                                this::tick, 0, tickMilliseconds, TimeUnit.MILLISECONDS);
    }

    /**
     * Opens the log in the data folder of the settings.
     *
     * @param stateMachine what the log applies its commands to
     * @param context what the log may use
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
        return mFailure.isPresent()
                ? CompletableFuture.failedFuture(mFailure.get())
                : mBatches.propose(command);
    }

    @Override
    public CompletableFuture<Void> confirmRead() {
        return mFailure.isPresent()
                ? CompletableFuture.failedFuture(mFailure.get())
                : mBatches.confirmRead();
    }

    @Override
    public LogStatus status() {
        LogStatus status = StatusView.of(mMember.status(), mAppliedIndex);
        return mFailure.isPresent() ? status.outOfTouch() : status;
    }

    @Override
    public Optional<IbisstandException> failure() {
        return mFailure;
    }

    @Override
    public CompletableFuture<Void> addMember(LogMember member) {
        if (mFailure.isPresent()) {
            return CompletableFuture.failedFuture(mFailure.get());
        }
        CompletableFuture<Void> done = mIntroductions.add(member, now());
        mIntroductions.tickAdditions(mMember.status(), now(), this::change);
        return done;
    }

    @Override
    public CompletableFuture<Void> removeMember(String name) {
        List<MemberIdentifier> found =
                mMembership.members().keySet().stream()
                        .filter(member -> member.value().equals(name) || member.name().equals(name))
                        .toList();
        if (found.size() > 1) {
            return CompletableFuture.failedFuture(
                    new IbisstandException(
                            ErrorCode.REQUEST_MALFORMED, "name one of " + found + " in full"));
        }
        MemberIdentifier member = found.isEmpty() ? new MemberIdentifier(name) : found.getFirst();
        return change(new MembershipChange.Remove(member)).thenApply(result -> null);
    }

    @Override
    public void received(WireConnection connection, ConsensusEnvelope envelope) {
        if (mFailure.isPresent() || envelope.getMember().isEmpty()) {
            return;
        }
        MemberIdentifier from = new MemberIdentifier(envelope.getMember());
        mConnections.heard(from, connection);
        MemberPayload payload = parse(envelope.getPayload());
        switch (payload.getBodyCase()) {
            case CONSENSUS -> receive(from, MessageCodec.decode(payload.getConsensus()));
            case INTRODUCTION_REQUEST -> mIntroductions.introduce(connection, mMember.status());
            case INTRODUCTION ->
                    mIntroductions.introduced(
                            from, payload.getIntroduction(), mMember.status(), now());
            case BODY_NOT_SET ->
                    throw new IbisstandException(ErrorCode.FRAME_INVALID, "the payload is empty");
        }
    }

    @Override
    public void close() {
        stop(new IbisstandException(ErrorCode.OUTCOME_UNKNOWN, "this member is stopping"));
        mStorage.close();
    }

    /** A message for a lost member must not reach the one that took its address. */
    private void receive(MemberIdentifier from, MessageCodec.Addressed addressed) {
        if (addressed.receiver().equals(mSelf)) {
            step(new Input.Receive(from, addressed.message()));
        }
    }

    private void tick() {
        step(new Input.Tick());
        if (mFailure.isEmpty()) {
            MemberStatus status = mMember.status();
            mIntroductions.form(status, now()).ifPresent(this::form);
            mIntroductions.tickAdditions(status, now(), this::change);
        }
    }

    private void form(Membership membership) {
        Logger.info("event=group_formed members={}", membership.members().keySet());
        step(new Input.Form(membership, mStateMachine.snapshot()));
    }

    private CompletableFuture<byte[]> change(MembershipChange change) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        long ticket = mRequests.open(future);
        onControlThread(() -> step(new Input.ChangeMembership(ticket, change)));
        return future;
    }

    private void step(Input input) {
        if (mFailure.isPresent()) {
            return;
        }
        try {
            mMember.step(input, now()).forEach(this::perform);
            compactIfDue();
        } catch (RuntimeException e) {
            fail(new IbisstandException(ErrorCode.INTERNAL, "the log stopped on a fault", e));
        }
    }

    private void perform(Output output) {
        switch (output) {
            case Output.Send send -> send(send);
            case Output.Persist persist -> mStorage.write(persist);
            case Output.Apply apply -> apply(apply.entry(), apply.ticket());
            case Output.Restore restore -> restore(restore.snapshot());
            case Output.ReadConfirmed read -> mRequests.complete(read.ticket(), new byte[0]);
            case Output.AlreadyChanged changed -> mRequests.complete(changed.ticket(), new byte[0]);
            case Output.Refused refused -> mRequests.fail(refused.ticket(), failureOf(refused));
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
                        () -> mConnections.sendBack(send.to(), payload));
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
            mRequests.complete(ticket.getAsLong(), result);
        }
    }

    /**
     * Waits for half as many bytes of commands as the last snapshot had, so that the cost of all
     * snapshots stays in proportion to that of the commands, however large the state is.
     */
    private void compactIfDue() {
        Optional<Snapshot> snapshot = mMember.snapshot();
        long entries = mAppliedIndex - snapshot.map(Snapshot::index).orElse(0L);
        long stateBytes = snapshot.map(taken -> taken.state().length).orElse(0);
        boolean isWorthIt = mBytesSinceSnapshot >= stateBytes / 2;
        int leastEntries = mContext.settings().limits().snapshotAfterEntries();
        if ((entries >= leastEntries && isWorthIt) || mBytesSinceSnapshot >= SNAPSHOT_AFTER_BYTES) {
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
        mConnections.keepOnly(mIntroductions.addresses(status));
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
        mTicks.cancel(false);
        mRequests.failAll(failure);
        mBatches.failReads(failure);
        mIntroductions.failAdditions(failure);
        mConnections.close();
    }

    private Instant now() {
        return mContext.clock().instant();
    }

    private void onControlThread(Runnable work) {
        mContext.controlThread().execute(work);
    }

    private static IbisstandException failureOf(Output.Refused refused) {
        boolean isLost = refused.code() == ErrorCode.NOT_LEADER && refused.leader().isEmpty();
        ErrorCode code = isLost ? ErrorCode.NO_QUORUM : refused.code();
        String hint = refused.leader().map(leader -> "; ask " + leader.address()).orElse("");
        return new IbisstandException(code, refused.message() + hint);
    }

    private static Timing timing(ControlSettings.Timing timing) {
        return new Timing(
                Duration.ofMillis(timing.electionTimeoutMilliseconds()),
                Duration.ofMillis(timing.heartbeatMilliseconds()));
    }

    private static MemberPayload parse(ByteString payload) {
        try {
            return MemberPayload.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            throw new IbisstandException(
                    ErrorCode.FRAME_INVALID, "a member sent an unreadable payload", e);
        }
    }
}
