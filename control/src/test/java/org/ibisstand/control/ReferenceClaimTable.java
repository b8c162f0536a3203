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

/** Says by definition what claims are answered: keeps every claim ever made and searches them. */
final class NaiveClaims {
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Entry> mFinished = new ArrayList<>();
    private long mLowWater = -Commands.RETENTION_MILLISECONDS;

    CommandResult claim(MakeClaim command, long now) {
        ClaimLimits limits = command.getLimits();
        long mark = now - limits.getRetentionMilliseconds();
        mLowWater = Math.max(mLowWater, mark);
        for (Entry entry : mEntries) {
            entry.mGone |= entry.mClaimed < mark - limits.getClockToleranceMilliseconds();
        }
        Claim claim = command.getClaim();
        Optional<Entry> known =
                mEntries.stream()
                        .filter(entry -> entry.mClaim.getKey().equals(claim.getKey()))
                        .findFirst();
        if (known.isPresent()) {
            return answer(known.get().mGone ? expired() : resend(known.get(), claim));
        }
        return claimUnknown(claim, limits, now);
    }

    private CommandResult claimUnknown(Claim claim, ClaimLimits limits, long now) {
        boolean timed = KeyTime.milliseconds(claim.getKey()).isPresent();
        long time = KeyTime.milliseconds(claim.getKey()).orElse(now);
        long opaque =
                mEntries.stream()
                        .filter(entry -> KeyTime.milliseconds(entry.mClaim.getKey()).isEmpty())
                        .count();
        if (claim.hasTombstoned() || (timed && time <= mLowWater)) {
            return answer(expired());
        }
        if (time > now + limits.getClockToleranceMilliseconds()) {
            return refused(ErrorCode.IDEMPOTENCY_KEY_INVALID);
        }
        if (!timed && opaque >= limits.getMaximumOpaqueKeys()) {
            return refused(ErrorCode.IDEMPOTENCY_KEY_INVALID);
        }
        if (mEntries.stream().filter(entry -> !entry.mGone).count() >= limits.getMaximumClaims()) {
            return refused(ErrorCode.OVERLOADED);
        }
        Entry entry = new Entry(claim, mEntries.size() + 1, now);
        mEntries.add(entry);
        return answer(entry.reply(ClaimReply.Result.GRANTED));
    }

    private static ClaimReply.Builder resend(Entry entry, Claim claim) {
        if (!entry.mClaim.getBodyDigest().equals(claim.getBodyDigest())) {
            return ClaimReply.newBuilder().setResult(ClaimReply.Result.BODY_MISMATCH);
        }
        if (entry.mOutcome.isPresent()) {
            return entry.reply(ClaimReply.Result.FINISHED);
        }
        boolean current =
                claim.getTombstoned().getClaim() == entry.mNumber
                        && claim.getTombstoned().getEpoch() == entry.mEpoch;
        if (!current) {
            return entry.reply(ClaimReply.Result.BOUND);
        }
        entry.mEpoch++;
        entry.mClaim = claim;
        return entry.reply(ClaimReply.Result.GRANTED);
    }

    CommandResult finish(FinishClaim command) {
        RecordOutcome record = command.getOutcome();
        boolean recorded = false;
        for (Entry entry : mEntries) {
            recorded |= !entry.mGone && entry.isBound(record) && finish(entry, record);
        }
        truncate(command.getMaximumKeptBytes());
        return CommandResult.newBuilder()
                .setOutcome(RecordOutcomeReply.newBuilder().setRecorded(recorded))
                .build();
    }

    private boolean finish(Entry entry, RecordOutcome record) {
        if (entry.mOutcome.isPresent()) {
            return entry.mOutcome.get().getStatus() == record.getOutcome().getStatus();
        }
        entry.mOutcome = Optional.of(record.getOutcome());
        mFinished.add(entry);
        return true;
    }

    private void truncate(long maximumBytes) {
        for (Entry entry : mFinished) {
            long kept = mFinished.stream().mapToLong(Entry::keptBytes).sum();
            if (kept > maximumBytes && entry.keptBytes() > 0) {
                entry.mOutcome =
                        Optional.of(
                                Outcome.newBuilder()
                                        .setStatus(entry.mOutcome.get().getStatus())
                                        .setTruncated(true)
                                        .build());
            }
        }
    }

    private static ClaimReply.Builder expired() {
        return ClaimReply.newBuilder().setResult(ClaimReply.Result.EXPIRED);
    }

    private static CommandResult answer(ClaimReply.Builder reply) {
        return CommandResult.newBuilder().setClaim(reply).build();
    }

    private static CommandResult refused(ErrorCode code) {
        return CommandResult.newBuilder()
                .setRefusal(Refusal.newBuilder().setCode(code.name()))
                .build();
    }

    /** One claim ever made; gone is one past its retention. */
    private static final class Entry {
        private final long mNumber;
        private final long mClaimed;
        private Claim mClaim;
        private int mEpoch = 1;
        private boolean mGone;
        private Optional<Outcome> mOutcome = Optional.empty();

        private Entry(Claim claim, long number, long claimed) {
            mClaim = claim;
            mNumber = number;
            mClaimed = claimed;
        }

        private boolean isBound(RecordOutcome record) {
            return record.getAttempt().getClaim() == mNumber
                    && record.getAttempt().getEpoch() == mEpoch
                    && record.getAgent().equals(mClaim.getAgent())
                    && record.getBoot() == mClaim.getBoot();
        }

        private long keptBytes() {
            return mGone ? 0 : mOutcome.map(outcome -> outcome.getBody().size()).orElse(0);
        }

        private ClaimReply.Builder reply(ClaimReply.Result result) {
            ClaimReply.Builder reply =
                    ClaimReply.newBuilder()
                            .setResult(result)
                            .setAgent(mClaim.getAgent())
                            .setBoot(mClaim.getBoot());
            reply.getAttemptBuilder().setClaim(mNumber).setEpoch(mEpoch);
            mOutcome.ifPresent(reply::setOutcome);
            return reply;
        }
    }
}
