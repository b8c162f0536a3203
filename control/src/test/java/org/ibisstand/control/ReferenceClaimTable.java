package org.ibisstand.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.control.message.ClaimLimits;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.control.message.FinishClaim;
import org.ibisstand.control.message.MakeClaim;
import org.ibisstand.control.message.Refusal;
import org.ibisstand.wire.message.Claim;
import org.ibisstand.wire.message.ClaimReply;
import org.ibisstand.wire.message.Outcome;
import org.ibisstand.wire.message.RecordOutcome;
import org.ibisstand.wire.message.RecordOutcomeReply;

/** A reference model of {@link ClaimTable} that keeps every claim and searches all of them. */
final class ReferenceClaimTable {
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Entry> mFinishedEntries = new ArrayList<>();
    private long mLowWaterMilliseconds = -TestCommands.RETENTION_MILLISECONDS;

    CommandResult claim(MakeClaim command, long nowMilliseconds) {
        ClaimLimits limits = command.getLimits();
        long lowWaterMilliseconds = nowMilliseconds - limits.getRetentionMilliseconds();
        mLowWaterMilliseconds = Math.max(mLowWaterMilliseconds, lowWaterMilliseconds);
        for (Entry entry : mEntries) {
            entry.mIsExpired |=
                    entry.mClaimedMilliseconds
                            < lowWaterMilliseconds - limits.getClockToleranceMilliseconds();
        }
        Claim claim = command.getClaim();
        Optional<Entry> known =
                mEntries.stream()
                        .filter(entry -> entry.mClaim.getKey().equals(claim.getKey()))
                        .findFirst();
        if (known.isPresent()) {
            return toResult(
                    known.get().mIsExpired ? expiredReply() : answerResend(known.get(), claim));
        }
        return claimNewKey(claim, limits, nowMilliseconds);
    }

    private CommandResult claimNewKey(Claim claim, ClaimLimits limits, long nowMilliseconds) {
        boolean hasTimestamp = UuidTimestamp.parseMilliseconds(claim.getKey()).isPresent();
        long keyMilliseconds =
                UuidTimestamp.parseMilliseconds(claim.getKey()).orElse(nowMilliseconds);
        long opaqueKeys =
                mEntries.stream()
                        .filter(
                                entry ->
                                        UuidTimestamp.parseMilliseconds(entry.mClaim.getKey())
                                                .isEmpty())
                        .count();
        if (claim.hasTombstoned() || (hasTimestamp && keyMilliseconds <= mLowWaterMilliseconds)) {
            return toResult(expiredReply());
        }
        if (keyMilliseconds > nowMilliseconds + limits.getClockToleranceMilliseconds()) {
            return toRefusal(ErrorCode.IDEMPOTENCY_KEY_INVALID);
        }
        if (!hasTimestamp && opaqueKeys >= limits.getMaximumOpaqueKeys()) {
            return toRefusal(ErrorCode.IDEMPOTENCY_KEY_INVALID);
        }
        if (mEntries.stream().filter(entry -> !entry.mIsExpired).count()
                >= limits.getMaximumClaims()) {
            return toRefusal(ErrorCode.OVERLOADED);
        }
        Entry entry = new Entry(claim, mEntries.size() + 1, nowMilliseconds);
        mEntries.add(entry);
        return toResult(entry.reply(ClaimReply.Result.GRANTED));
    }

    private static ClaimReply.Builder answerResend(Entry entry, Claim claim) {
        if (!entry.mClaim.getBodyDigest().equals(claim.getBodyDigest())) {
            return ClaimReply.newBuilder().setResult(ClaimReply.Result.BODY_MISMATCH);
        }
        if (entry.mOutcome.isPresent()) {
            return entry.reply(ClaimReply.Result.FINISHED);
        }
        boolean isCurrentAttempt =
                claim.getTombstoned().getClaim() == entry.mNumber
                        && claim.getTombstoned().getEpoch() == entry.mAttemptEpoch;
        if (!isCurrentAttempt) {
            return entry.reply(ClaimReply.Result.BOUND);
        }
        entry.mAttemptEpoch++;
        entry.mClaim = claim;
        return entry.reply(ClaimReply.Result.GRANTED);
    }

    CommandResult finish(FinishClaim command) {
        RecordOutcome record = command.getOutcome();
        boolean isRecorded = false;
        for (Entry entry : mEntries) {
            isRecorded |= !entry.mIsExpired && entry.isBoundTo(record) && finish(entry, record);
        }
        truncateOldestAnswers(command.getMaximumKeptBytes());
        return CommandResult.newBuilder()
                .setOutcome(RecordOutcomeReply.newBuilder().setRecorded(isRecorded))
                .build();
    }

    private boolean finish(Entry entry, RecordOutcome record) {
        if (entry.mOutcome.isPresent()) {
            return entry.mOutcome.get().getStatus() == record.getOutcome().getStatus();
        }
        entry.mOutcome = Optional.of(record.getOutcome());
        mFinishedEntries.add(entry);
        return true;
    }

    private void truncateOldestAnswers(long maximumBytes) {
        for (Entry entry : mFinishedEntries) {
            long keptBytes = mFinishedEntries.stream().mapToLong(Entry::keptBytes).sum();
            if (keptBytes > maximumBytes && entry.keptBytes() > 0) {
                entry.mOutcome =
                        Optional.of(
                                Outcome.newBuilder()
                                        .setStatus(entry.mOutcome.get().getStatus())
                                        .setTruncated(true)
                                        .build());
            }
        }
    }

    private static ClaimReply.Builder expiredReply() {
        return ClaimReply.newBuilder().setResult(ClaimReply.Result.EXPIRED);
    }

    private static CommandResult toResult(ClaimReply.Builder reply) {
        return CommandResult.newBuilder().setClaim(reply).build();
    }

    private static CommandResult toRefusal(ErrorCode code) {
        return CommandResult.newBuilder()
                .setRefusal(Refusal.newBuilder().setCode(code.name()))
                .build();
    }

    /** A claim, which stays in the list after its retention has ended and is marked as expired. */
    private static final class Entry {
        private final long mNumber;
        private final long mClaimedMilliseconds;
        private Claim mClaim;
        private int mAttemptEpoch = 1;
        private boolean mIsExpired;
        private Optional<Outcome> mOutcome = Optional.empty();

        private Entry(Claim claim, long number, long claimedMilliseconds) {
            mClaim = claim;
            mNumber = number;
            mClaimedMilliseconds = claimedMilliseconds;
        }

        private boolean isBoundTo(RecordOutcome record) {
            return record.getAttempt().getClaim() == mNumber
                    && record.getAttempt().getEpoch() == mAttemptEpoch
                    && record.getAgent().equals(mClaim.getAgent())
                    && record.getBoot() == mClaim.getBoot();
        }

        private long keptBytes() {
            return mIsExpired ? 0 : mOutcome.map(outcome -> outcome.getBody().size()).orElse(0);
        }

        private ClaimReply.Builder reply(ClaimReply.Result result) {
            ClaimReply.Builder reply =
                    ClaimReply.newBuilder()
                            .setResult(result)
                            .setAgent(mClaim.getAgent())
                            .setBoot(mClaim.getBoot());
            reply.getAttemptBuilder().setClaim(mNumber).setEpoch(mAttemptEpoch);
            mOutcome.ifPresent(reply::setOutcome);
            return reply;
        }
    }
}
