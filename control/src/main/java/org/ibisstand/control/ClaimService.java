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

/** Answers claims and outcomes through the log. */
final class ClaimService {
    static final int MAXIMUM_ANSWER_BYTES = 64 * 1024;
    static final long MAXIMUM_KEPT_BYTES = 8L * 1024 * 1024;

    private final Proposals mProposals;
    private final ClaimLimits mLimits;

    private ClaimService(Proposals proposals, ClaimLimits limits) {
        mProposals = proposals;
        mLimits = limits;
    }

    static ClaimService create(Proposals proposals, ClaimLimits limits) {
        return new ClaimService(proposals, limits);
    }

    CompletableFuture<Frame.Builder> claim(Claim claim) {
        MakeClaim make = MakeClaim.newBuilder().setClaim(claim).setLimits(mLimits).build();
        return mProposals
                .propose(Command.newBuilder().setMakeClaim(make))
                .thenApply(CommandResult::getClaim)
                .thenApply(reply -> Frame.newBuilder().setClaimReply(reply));
    }

    CompletableFuture<Frame.Builder> record(RecordOutcome record) {
        FinishClaim finish =
                FinishClaim.newBuilder()
                        .setOutcome(bounded(record))
                        .setMaximumKeptBytes(MAXIMUM_KEPT_BYTES)
                        .build();
        return mProposals
                .propose(Command.newBuilder().setFinishClaim(finish))
                .thenApply(CommandResult::getOutcome)
                .thenApply(reply -> Frame.newBuilder().setRecordOutcomeReply(reply));
    }

    // A cut body would pass for a whole answer, so a large one is left out and marked.
    private static RecordOutcome bounded(RecordOutcome record) {
        Outcome outcome = record.getOutcome();
        if (outcome.getSerializedSize() <= MAXIMUM_ANSWER_BYTES) {
            return record;
        }
        Outcome bounded = outcome.toBuilder().clearBody().clearHeaders().setTruncated(true).build();
        return record.toBuilder().setOutcome(bounded).build();
    }
}
