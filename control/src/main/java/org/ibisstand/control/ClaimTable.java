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
 * The claims of non-idempotent requests: each key runs at most once, also after its record is gone.
 * A key with a time is refused once it is older than the low-water mark; a key without one is
 * remembered for good in a compact form, and a team may use only so many of them.
 */
final class ClaimTable {
    private final LinkedHashMap<ClaimKey, HeldClaim> mClaims = new LinkedHashMap<>();
    private final Map<Long, HeldClaim> mByNumber = new HashMap<>();
    private final ArrayDeque<HeldClaim> mKeptAnswers = new ArrayDeque<>();
    private final OpaqueKeys mOpaqueKeys = new OpaqueKeys();
    private final Names mNames = new Names();
    private long mKeptBytes;
    private long mLastClaim;
    private long mLowWaterMilliseconds;

    /**
     * Claims a key, or says what became of its first claim.
     *
     * @throws IbisstandException if the key is refused; nothing has changed then
     */
    ClaimReply claim(MakeClaim command, long nowMilliseconds) {
        ClaimLimits limits = command.getLimits();
        expire(limits, nowMilliseconds);
        Claim claim = command.getClaim();
        ClaimKey key = new ClaimKey(claim.getTeam(), claim.getService(), claim.getKey());
        HeldClaim held = mClaims.get(key);
        if (held != null) {
            return held.resend(claim);
        }
        OptionalLong issued = KeyTime.milliseconds(claim.getKey());
        if (claim.hasTombstoned() || isExpired(key, issued)) {
            return ClaimReply.newBuilder().setResult(ClaimReply.Result.EXPIRED).build();
        }
        checkNewKey(key, issued, limits, nowMilliseconds);
        return grant(claim, issued.isEmpty(), nowMilliseconds);
    }

    /** Records the outcome of a bound attempt; false if the attempt is not the bound one. */
    boolean finish(FinishClaim command) {
        RecordOutcome record = command.getOutcome();
        HeldClaim held = mByNumber.get(record.getAttempt().getClaim());
        if (held == null) {
            return false;
        }
        boolean first = held.outcome().isEmpty();
        boolean recorded = held.finish(record);
        if (recorded && first) {
            keepAnswer(held, command.getMaximumKeptBytes());
        }
        return recorded;
    }

    int size() {
        return mClaims.size();
    }

    long keptBytes() {
        return mKeptBytes;
    }

    long lowWaterMilliseconds() {
        return mLowWaterMilliseconds;
    }

    private boolean isExpired(ClaimKey key, OptionalLong issued) {
        return issued.isPresent()
                ? issued.getAsLong() <= mLowWaterMilliseconds
                : mOpaqueKeys.isSpent(key);
    }

    private void checkNewKey(
            ClaimKey key, OptionalLong issued, ClaimLimits limits, long nowMilliseconds) {
        long latest = nowMilliseconds + limits.getClockToleranceMilliseconds();
        if (issued.isPresent() && issued.getAsLong() > latest) {
            throw new IbisstandException(
                    ErrorCode.IDEMPOTENCY_KEY_INVALID, "the time in the key lies in the future");
        }
        if (issued.isEmpty() && mOpaqueKeys.used(key.team()) >= limits.getMaximumOpaqueKeys()) {
            throw new IbisstandException(
                    ErrorCode.IDEMPOTENCY_KEY_INVALID,
                    "the team has used all its keys without a time; send a UUID of version 7");
        }
        if (issued.isEmpty() && mOpaqueKeys.usedInAll() >= limits.getMaximumOpaqueKeysInAll()) {
            throw new IbisstandException(
                    ErrorCode.IDEMPOTENCY_KEY_INVALID,
                    "all keys without a time are used; send a UUID of version 7");
        }
        if (mClaims.size() >= limits.getMaximumClaims()) {
            throw new IbisstandException(
                    ErrorCode.OVERLOADED, "as many claims are in retention as are allowed");
        }
    }

    private ClaimReply grant(Claim claim, boolean opaque, long nowMilliseconds) {
        mLastClaim++;
        HeldClaim held = HeldClaim.create(claim, mLastClaim, nowMilliseconds, opaque, mNames);
        mClaims.put(held.key(), held);
        mByNumber.put(mLastClaim, held);
        if (opaque) {
            mOpaqueKeys.open(held.key());
        }
        return held.granted();
    }

    /**
     * Drops claims past their retention. Only keys at or below the low-water mark are dropped: a
     * key may be ahead of the clock by the tolerance, so a claim is kept that much longer.
     */
    private void expire(ClaimLimits limits, long nowMilliseconds) {
        long mark = nowMilliseconds - limits.getRetentionMilliseconds();
        mLowWaterMilliseconds = Math.max(mLowWaterMilliseconds, mark);
        long claimedBefore = mark - limits.getClockToleranceMilliseconds();
        while (!mClaims.isEmpty()) {
            HeldClaim eldest = mClaims.firstEntry().getValue();
            if (eldest.claimedMilliseconds() >= claimedBefore) {
                return;
            }
            drop(eldest);
        }
    }

    private void drop(HeldClaim claim) {
        mClaims.remove(claim.key());
        mByNumber.remove(claim.number());
        if (mKeptAnswers.remove(claim)) {
            mKeptBytes -= claim.truncate();
        }
        if (claim.opaque()) {
            mOpaqueKeys.spend(claim.key());
        }
    }

    private void keepAnswer(HeldClaim claim, long maximumKeptBytes) {
        long size = claim.outcome().map(Outcome::getBody).orElseThrow().size();
        if (size > 0) {
            mKeptAnswers.add(claim);
            mKeptBytes += size;
        }
        while (mKeptBytes > maximumKeptBytes) {
            mKeptBytes -= mKeptAnswers.remove().truncate();
        }
    }

    ClaimState snapshot() {
        ClaimState.Builder state =
                ClaimState.newBuilder()
                        .setLastClaim(mLastClaim)
                        .setLowWaterMilliseconds(mLowWaterMilliseconds)
                        .addAllSpentKeys(mOpaqueKeys.snapshot());
        for (HeldClaim claim : mClaims.values()) {
            state.addClaims(claim.snapshot());
        }
        for (HeldClaim claim : mKeptAnswers) {
            state.addKeptAnswers(claim.number());
        }
        return state.build();
    }

    static ClaimTable restore(ClaimState state) {
        ClaimTable table = new ClaimTable();
        table.mLastClaim = state.getLastClaim();
        table.mLowWaterMilliseconds = state.getLowWaterMilliseconds();
        for (SpentKeys spent : state.getSpentKeysList()) {
            table.mOpaqueKeys.restore(spent);
        }
        for (ClaimRecord record : state.getClaimsList()) {
            table.add(HeldClaim.restore(record, table.mNames));
        }
        for (long number : state.getKeptAnswersList()) {
            table.keepRestored(number);
        }
        return table;
    }

    private void add(HeldClaim claim) {
        mClaims.put(claim.key(), claim);
        mByNumber.put(claim.number(), claim);
        if (claim.opaque()) {
            mOpaqueKeys.open(claim.key());
        }
    }

    private void keepRestored(long number) {
        HeldClaim claim =
                Optional.ofNullable(mByNumber.get(number))
                        .orElseThrow(
                                () ->
                                        new IbisstandException(
                                                ErrorCode.STORAGE_DAMAGED,
                                                "the snapshot keeps an answer of no claim"));
        mKeptAnswers.add(claim);
        mKeptBytes += claim.outcome().map(Outcome::getBody).orElseThrow().size();
    }
}
