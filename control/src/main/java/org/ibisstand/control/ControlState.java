package org.ibisstand.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collection;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.control.message.ClaimState;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.control.message.ConfigurationState;
import org.ibisstand.control.message.Load;
import org.ibisstand.control.message.LoadState;
import org.ibisstand.control.message.Refusal;
import org.ibisstand.control.message.Snapshot;
import org.ibisstand.wire.message.RecordOutcomeReply;

/**
 * The replicated state of control: configuration, routing, claims, and weight loads with their
 * fencing numbers. Time is taken from the commands and never goes back, so all members expire the
 * same claims at the same log entry.
 */
public final class ControlState implements StateMachine {
    private ConfigurationHistory mConfiguration;
    private ClaimTable mClaims;
    private WeightLoads mLoads;
    private CurrentRouting mRouting;
    private long mNowMilliseconds;

    private ControlState() {
        restore(Snapshot.getDefaultInstance());
    }

    /** Returns the state before the first command. */
    public static ControlState empty() {
        return new ControlState();
    }

    @Override
    public byte[] apply(byte[] command) {
        try {
            return apply(Command.parseFrom(command)).toByteArray();
        } catch (InvalidProtocolBufferException e) {
            return refused(ErrorCode.FRAME_INVALID, "the command cannot be parsed").toByteArray();
        }
    }

    /** Applies one command; a refused one changes only the time. */
    CommandResult apply(Command command) {
        mNowMilliseconds = Math.max(mNowMilliseconds, command.getNowMilliseconds());
        try {
            return execute(command);
        } catch (IbisstandException e) {
            return refused(e.code(), e.getMessage());
        }
    }

    private CommandResult execute(Command command) {
        CommandResult.Builder result = CommandResult.newBuilder();
        switch (command.getBodyCase()) {
            case CHANGE_CONFIGURATION ->
                    result.setConfiguration(mConfiguration.apply(command.getChangeConfiguration()));
            case MAKE_CLAIM ->
                    result.setClaim(mClaims.claim(command.getMakeClaim(), mNowMilliseconds));
            case FINISH_CLAIM -> {
                boolean recorded = mClaims.finish(command.getFinishClaim());
                result.setOutcome(RecordOutcomeReply.newBuilder().setRecorded(recorded));
            }
            case BEGIN_LOAD ->
                    result.setLoad(mLoads.begin(command.getBeginLoad(), mNowMilliseconds));
            case END_LOAD -> result.setLoad(mLoads.end(command.getEndLoad()));
            case PUT_ROUTING -> result.setRouting(mRouting.put(command.getPutRouting()));
            case NAME_WEIGHTS -> result.setRouting(mRouting.nameWeights(command.getNameWeights()));
            case BODY_NOT_SET ->
                    throw new IbisstandException(
                            ErrorCode.FRAME_INVALID, "the command has no body or an unknown one");
        }
        return result.build();
    }

    private static CommandResult refused(ErrorCode code, String message) {
        Refusal refusal = Refusal.newBuilder().setCode(code.name()).setMessage(message).build();
        return CommandResult.newBuilder().setRefusal(refusal).build();
    }

    /** Returns the revision in force; zero before the first configuration. */
    public long revision() {
        return mConfiguration.revision();
    }

    /** Returns the configuration in force as JSON; empty before the first configuration. */
    public ByteString configuration() {
        return mConfiguration.json();
    }

    /** Returns the routing configuration and the weights versions to load. */
    CurrentRouting routing() {
        return mRouting;
    }

    /** Returns the weight loads that hold a slot. */
    Collection<Load> loads() {
        return mLoads.inProgress();
    }

    ClaimTable claims() {
        return mClaims;
    }

    @Override
    public byte[] snapshot() {
        return Snapshot.newBuilder()
                .setNowMilliseconds(mNowMilliseconds)
                .setConfiguration(mConfiguration.snapshot())
                .setClaims(mClaims.snapshot())
                .setLoads(mLoads.snapshot())
                .setRouting(mRouting.snapshot())
                .build()
                .toByteArray();
    }

    @Override
    public void restore(byte[] snapshot) {
        try {
            restore(Snapshot.parseFrom(snapshot));
        } catch (InvalidProtocolBufferException e) {
            throw new IbisstandException(
                    ErrorCode.STORAGE_DAMAGED,
                    "the snapshot of the control state cannot be parsed",
                    e);
        }
    }

    private void restore(Snapshot snapshot) {
        ConfigurationState configuration = snapshot.getConfiguration();
        ClaimState claims = snapshot.getClaims();
        LoadState loads = snapshot.getLoads();
        mConfiguration = ConfigurationHistory.restore(configuration);
        mClaims = ClaimTable.restore(claims);
        mLoads = WeightLoads.restore(loads);
        mRouting = CurrentRouting.restore(snapshot.getRouting());
        mNowMilliseconds = snapshot.getNowMilliseconds();
    }
}
