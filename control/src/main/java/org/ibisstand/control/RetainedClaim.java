package org.ibisstand.control;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.ibisstand.control.message.ClaimRecord;
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.Claim;
import org.ibisstand.wire.message.ClaimReply;
import org.ibisstand.wire.message.Outcome;
import org.ibisstand.wire.message.RecordOutcome;

/**
 * One claim in retention: the attempt that may run, the agent that it is bound to, and its outcome.
 */
final class RetainedClaim {
    private final ClaimKey mKey;
    private final ByteString mBodyDigest;
    private final long mClaimedMilliseconds;
    private final boolean mIsOpaque;
    private final long mNumber;
    private int mAttemptEpoch;
    private String mAgent;
    private long mBoot;
    private Optional<Outcome> mOutcome = Optional.empty();

    private RetainedClaim(ClaimRecord record, NameInterner interner) {
        mKey =
                new ClaimKey(
                        interner.intern(record.getTeam()),
                        interner.intern(record.getService()),
                        record.getKey());
        mBodyDigest = record.getBodyDigest();
        mClaimedMilliseconds = record.getClaimedMilliseconds();
        mIsOpaque = record.getOpaque();
        mNumber = record.getAttempt().getClaim();
        mAttemptEpoch = record.getAttempt().getEpoch();
        mAgent = interner.intern(record.getAgent());
        mBoot = record.getBoot();
        mOutcome = record.hasOutcome() ? Optional.of(record.getOutcome()) : Optional.empty();
    }

    static RetainedClaim restore(ClaimRecord record, NameInterner interner) {
        return new RetainedClaim(record, interner);
    }

    static RetainedClaim create(
            Claim claim,
            long number,
            long nowMilliseconds,
            boolean isOpaque,
            NameInterner interner) {
        return new RetainedClaim(
                ClaimRecord.newBuilder()
                        .setTeam(claim.getTeam())
                        .setService(claim.getService())
                        .setKey(claim.getKey())
                        .setBodyDigest(claim.getBodyDigest())
                        .setAttempt(AttemptIdentifier.newBuilder().setClaim(number).setEpoch(1))
                        .setAgent(claim.getAgent())
                        .setBoot(claim.getBoot())
                        .setClaimedMilliseconds(nowMilliseconds)
                        .setOpaque(isOpaque)
                        .build(),
                interner);
    }

    ClaimKey key() {
        return mKey;
    }

    long number() {
        return mNumber;
    }

    long claimedMilliseconds() {
        return mClaimedMilliseconds;
    }

    boolean isOpaque() {
        return mIsOpaque;
    }

    Optional<Outcome> outcome() {
        return mOutcome;
    }

    /**
     * Answers another request with the same key: with the recorded outcome, or with the agent that
     * the attempt is bound to. If the sender knows that the bound attempt was tombstoned, the next
     * attempt is granted.
     */
    ClaimReply answerResend(Claim resent) {
        if (!mBodyDigest.equals(resent.getBodyDigest())) {
            return reply(ClaimReply.Result.BODY_MISMATCH);
        }
        if (mOutcome.isPresent()) {
            return reply(ClaimReply.Result.FINISHED);
        }
        if (resent.hasTombstoned() && resent.getTombstoned().equals(attempt())) {
            bindNextAttempt(resent);
            return grantedReply();
        }
        return reply(ClaimReply.Result.BOUND);
    }

    ClaimReply grantedReply() {
        return reply(ClaimReply.Result.GRANTED);
    }

    /**
     * Records the first outcome of the bound attempt; recording the same outcome again succeeds.
     */
    boolean finish(RecordOutcome record) {
        boolean isBoundAttempt =
                record.getAttempt().equals(attempt())
                        && record.getAgent().equals(mAgent)
                        && record.getBoot() == mBoot;
        if (!isBoundAttempt) {
            return false;
        }
        if (mOutcome.isPresent()) {
            return isSameOutcome(mOutcome.get(), record.getOutcome());
        }
        mOutcome = Optional.of(record.getOutcome());
        return true;
    }

    // Ignores the body, since the recorded one may have been truncated in the meantime.
    private static boolean isSameOutcome(Outcome kept, Outcome resent) {
        return kept.getStatus() == resent.getStatus() && kept.getUnknown() == resent.getUnknown();
    }

    /**
     * Removes the body and headers of the recorded answer; returns the size of the body in bytes.
     */
    long truncateAnswer() {
        Outcome outcome = mOutcome.orElseThrow();
        mOutcome =
                Optional.of(
                        outcome.toBuilder().clearBody().clearHeaders().setTruncated(true).build());
        return outcome.getBody().size();
    }

    ClaimRecord snapshot() {
        ClaimRecord.Builder record =
                ClaimRecord.newBuilder()
                        .setTeam(mKey.team())
                        .setService(mKey.service())
                        .setKey(mKey.key())
                        .setBodyDigest(mBodyDigest)
                        .setAttempt(attempt())
                        .setAgent(mAgent)
                        .setBoot(mBoot)
                        .setClaimedMilliseconds(mClaimedMilliseconds)
                        .setOpaque(mIsOpaque);
        mOutcome.ifPresent(record::setOutcome);
        return record.build();
    }

    // Built on demand: a stored message object for each of very many claims would take more memory
    // than its content.
    private AttemptIdentifier attempt() {
        return AttemptIdentifier.newBuilder().setClaim(mNumber).setEpoch(mAttemptEpoch).build();
    }

    private void bindNextAttempt(Claim claim) {
        mAttemptEpoch++;
        mAgent = claim.getAgent();
        mBoot = claim.getBoot();
    }

    private ClaimReply reply(ClaimReply.Result result) {
        ClaimReply.Builder reply = ClaimReply.newBuilder().setResult(result);
        if (result != ClaimReply.Result.BODY_MISMATCH) {
            reply.setAttempt(attempt()).setAgent(mAgent).setBoot(mBoot);
            mOutcome.ifPresent(reply::setOutcome);
        }
        return reply.build();
    }
}
