package org.ibisstand.control;

import java.util.concurrent.CompletableFuture;
import org.ibisstand.control.message.ClaimLimits;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.control.message.FinishClaim;
import org.ibisstand.control.message.MakeClaim;
import org.ibisstand.wire.message.Claim;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Outcome;
import org.ibisstand.wire.message.RecordOutcome;

/** Handles claims and recorded outcomes by proposing them to the log. */
final class ClaimService {
    static final int MAXIMUM_ANSWER_BYTES = 64 * 1024;
    static final long MAXIMUM_KEPT_ANSWER_BYTES = 8L * 1024 * 1024;

    private final CommandProposer mProposer;
    private final ClaimLimits mLimits;

    private ClaimService(CommandProposer proposer, ClaimLimits limits) {
        mProposer = proposer;
        mLimits = limits;
    }

    static ClaimService create(CommandProposer proposer, ClaimLimits limits) {
        return new ClaimService(proposer, limits);
    }

    CompletableFuture<Frame.Builder> claim(Claim claim) {
        MakeClaim makeClaim = MakeClaim.newBuilder().setClaim(claim).setLimits(mLimits).build();
        return mProposer
                .propose(Command.newBuilder().setMakeClaim(makeClaim))
                .thenApply(CommandResult::getClaim)
                .thenApply(reply -> Frame.newBuilder().setClaimReply(reply));
    }

    CompletableFuture<Frame.Builder> record(RecordOutcome record) {
        FinishClaim finishClaim =
                FinishClaim.newBuilder()
                        .setOutcome(truncateIfTooLarge(record))
                        .setMaximumKeptBytes(MAXIMUM_KEPT_ANSWER_BYTES)
                        .build();
        return mProposer
                .propose(Command.newBuilder().setFinishClaim(finishClaim))
                .thenApply(CommandResult::getOutcome)
                .thenApply(reply -> Frame.newBuilder().setRecordOutcomeReply(reply));
    }

    // Removes a large body and marks the outcome as truncated, since a shortened body could be
    // mistaken for the complete answer.
    private static RecordOutcome truncateIfTooLarge(RecordOutcome record) {
        Outcome outcome = record.getOutcome();
        if (outcome.getSerializedSize() <= MAXIMUM_ANSWER_BYTES) {
            return record;
        }
        Outcome truncated =
                outcome.toBuilder().clearBody().clearHeaders().setTruncated(true).build();
        return record.toBuilder().setOutcome(truncated).build();
    }
}
