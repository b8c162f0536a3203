package org.ibisstand.control;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.control.message.ClaimLimits;
import org.ibisstand.control.message.ClaimRecord;
import org.ibisstand.control.message.ClaimState;
import org.ibisstand.control.message.FinishClaim;
import org.ibisstand.control.message.MakeClaim;
import org.ibisstand.control.message.SpentKeys;
import org.ibisstand.wire.message.Claim;
import org.ibisstand.wire.message.ClaimReply;
import org.ibisstand.wire.message.Outcome;
import org.ibisstand.wire.message.RecordOutcome;

/**
 * The claims of non-idempotent requests. A request with a given key runs at most once, even after
 * its claim has been removed: a key with a timestamp is refused once the timestamp is at or below
 * the low-water mark; a key without a timestamp is remembered forever as a digest, and the number
 * of such keys is limited per team and in total.
 */
final class ClaimTable {
    private final LinkedHashMap<ClaimKey, RetainedClaim> mClaims = new LinkedHashMap<>();
    private final Map<Long, RetainedClaim> mClaimsByNumber = new HashMap<>();
    private final ArrayDeque<RetainedClaim> mKeptAnswers = new ArrayDeque<>();
    private final OpaqueKeys mOpaqueKeys = new OpaqueKeys();
    private final NameInterner mInterner = new NameInterner();
    private long mKeptAnswerBytes;
    private long mLastClaimNumber;
    private long mLowWaterMilliseconds;

    /**
     * Claims a key, or returns the state of the claim that already exists for it.
     *
     * @throws IbisstandException if the key is refused; no claim is added then
     */
    ClaimReply claim(MakeClaim command, long nowMilliseconds) {
        ClaimLimits limits = command.getLimits();
        expire(limits, nowMilliseconds);
        Claim claim = command.getClaim();
        ClaimKey key = new ClaimKey(claim.getTeam(), claim.getService(), claim.getKey());
        RetainedClaim known = mClaims.get(key);
        if (known != null) {
            return known.answerResend(claim);
        }
        OptionalLong keyMilliseconds = UuidTimestamp.parseMilliseconds(claim.getKey());
        if (claim.hasTombstoned() || isExpired(key, keyMilliseconds)) {
            return ClaimReply.newBuilder().setResult(ClaimReply.Result.EXPIRED).build();
        }
        checkNewKey(key, keyMilliseconds, limits, nowMilliseconds);
        return grant(claim, keyMilliseconds.isEmpty(), nowMilliseconds);
    }

    /**
     * Records the outcome of an attempt; returns false if the claim is not bound to that attempt.
     */
    boolean finish(FinishClaim command) {
        RecordOutcome record = command.getOutcome();
        RetainedClaim claim = mClaimsByNumber.get(record.getAttempt().getClaim());
        if (claim == null) {
            return false;
        }
        boolean isFirst = claim.outcome().isEmpty();
        boolean isRecorded = claim.finish(record);
        if (isRecorded && isFirst) {
            keepAnswer(claim, command.getMaximumKeptBytes());
        }
        return isRecorded;
    }

    int size() {
        return mClaims.size();
    }

    long keptAnswerBytes() {
        return mKeptAnswerBytes;
    }

    long lowWaterMilliseconds() {
        return mLowWaterMilliseconds;
    }

    private boolean isExpired(ClaimKey key, OptionalLong keyMilliseconds) {
        return keyMilliseconds.isPresent()
                ? keyMilliseconds.getAsLong() <= mLowWaterMilliseconds
                : mOpaqueKeys.isExpired(key);
    }

    private void checkNewKey(
            ClaimKey key, OptionalLong keyMilliseconds, ClaimLimits limits, long nowMilliseconds) {
        long latestMilliseconds = nowMilliseconds + limits.getClockToleranceMilliseconds();
        if (keyMilliseconds.isPresent() && keyMilliseconds.getAsLong() > latestMilliseconds) {
            throw new IbisstandException(
                    ErrorCode.IDEMPOTENCY_KEY_INVALID, "the timestamp in the key is in the future");
        }
        if (keyMilliseconds.isEmpty()
                && mOpaqueKeys.usedBy(key.team()) >= limits.getMaximumOpaqueKeys()) {
            throw new IbisstandException(
                    ErrorCode.IDEMPOTENCY_KEY_INVALID,
                    "the team reached its limit of keys without a timestamp; send version 7 UUIDs");
        }
        if (keyMilliseconds.isEmpty()
                && mOpaqueKeys.usedByAllTeams() >= limits.getMaximumOpaqueKeysInAll()) {
            throw new IbisstandException(
                    ErrorCode.IDEMPOTENCY_KEY_INVALID,
                    "all teams together reached the limit of keys without a timestamp;"
                            + " send version 7 UUIDs");
        }
        if (mClaims.size() >= limits.getMaximumClaims()) {
            throw new IbisstandException(
                    ErrorCode.OVERLOADED, "the maximum number of retained claims is reached");
        }
    }

    private ClaimReply grant(Claim claim, boolean isOpaque, long nowMilliseconds) {
        mLastClaimNumber++;
        RetainedClaim granted =
                RetainedClaim.create(claim, mLastClaimNumber, nowMilliseconds, isOpaque, mInterner);
        mClaims.put(granted.key(), granted);
        mClaimsByNumber.put(mLastClaimNumber, granted);
        if (isOpaque) {
            mOpaqueKeys.addRetained(granted.key());
        }
        return granted.grantedReply();
    }

    /**
     * Removes claims past their retention. A claim may be removed only once the timestamp in its
     * key is at or below the low-water mark. That timestamp may be ahead of the clock by the clock
     * tolerance, so a claim is kept for that much longer.
     */
    private void expire(ClaimLimits limits, long nowMilliseconds) {
        long lowWaterMilliseconds = nowMilliseconds - limits.getRetentionMilliseconds();
        mLowWaterMilliseconds = Math.max(mLowWaterMilliseconds, lowWaterMilliseconds);
        long retainedSinceMilliseconds =
                lowWaterMilliseconds - limits.getClockToleranceMilliseconds();
        while (!mClaims.isEmpty()) {
            RetainedClaim oldest = mClaims.firstEntry().getValue();
            if (oldest.claimedMilliseconds() >= retainedSinceMilliseconds) {
                return;
            }
            remove(oldest);
        }
    }

    private void remove(RetainedClaim claim) {
        mClaims.remove(claim.key());
        mClaimsByNumber.remove(claim.number());
        if (mKeptAnswers.remove(claim)) {
            mKeptAnswerBytes -= claim.truncateAnswer();
        }
        if (claim.isOpaque()) {
            mOpaqueKeys.expire(claim.key());
        }
    }

    private void keepAnswer(RetainedClaim claim, long maximumKeptBytes) {
        long size = claim.outcome().map(Outcome::getBody).orElseThrow().size();
        if (size > 0) {
            mKeptAnswers.add(claim);
            mKeptAnswerBytes += size;
        }
        while (mKeptAnswerBytes > maximumKeptBytes) {
            mKeptAnswerBytes -= mKeptAnswers.remove().truncateAnswer();
        }
    }

    ClaimState snapshot() {
        ClaimState.Builder state =
                ClaimState.newBuilder()
                        .setLastClaim(mLastClaimNumber)
                        .setLowWaterMilliseconds(mLowWaterMilliseconds)
                        .addAllSpentKeys(mOpaqueKeys.snapshot());
        for (RetainedClaim claim : mClaims.values()) {
            state.addClaims(claim.snapshot());
        }
        for (RetainedClaim claim : mKeptAnswers) {
            state.addKeptAnswers(claim.number());
        }
        return state.build();
    }

    static ClaimTable restore(ClaimState state) {
        ClaimTable table = new ClaimTable();
        table.mLastClaimNumber = state.getLastClaim();
        table.mLowWaterMilliseconds = state.getLowWaterMilliseconds();
        for (SpentKeys spentKeys : state.getSpentKeysList()) {
            table.mOpaqueKeys.restore(spentKeys);
        }
        for (ClaimRecord record : state.getClaimsList()) {
            table.addRestored(RetainedClaim.restore(record, table.mInterner));
        }
        for (long number : state.getKeptAnswersList()) {
            table.restoreKeptAnswer(number);
        }
        return table;
    }

    private void addRestored(RetainedClaim claim) {
        mClaims.put(claim.key(), claim);
        mClaimsByNumber.put(claim.number(), claim);
        if (claim.isOpaque()) {
            mOpaqueKeys.addRetained(claim.key());
        }
    }

    private void restoreKeptAnswer(long number) {
        RetainedClaim claim =
                Optional.ofNullable(mClaimsByNumber.get(number))
                        .orElseThrow(
                                () ->
                                        new IbisstandException(
                                                ErrorCode.STORAGE_DAMAGED,
                                                "a kept answer in the snapshot has no claim"));
        mKeptAnswers.add(claim);
        mKeptAnswerBytes += claim.outcome().map(Outcome::getBody).orElseThrow().size();
    }
}
