package org.ibisstand.control;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.ibisstand.control.message.ClaimRecord;
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.Claim;
import org.ibisstand.wire.message.ClaimReply;
import org.ibisstand.wire.message.Outcome;
import org.ibisstand.wire.message.RecordOutcome;

/** One claim in retention: the attempt that may run, where, and what it came to. */
final class HeldClaim {
    private final ClaimKey mKey;
    private final ByteString mBodyDigest;
    private final long mClaimedMilliseconds;
    private final boolean mOpaque;
    private AttemptIdentifier mAttempt;
    private String mAgent;
    private long mBoot;
    private Optional<Outcome> mOutcome = Optional.empty();

    private HeldClaim(ClaimRecord record) {
        mKey = new ClaimKey(record.getTeam(), record.getService(), record.getKey());
        mBodyDigest = record.getBodyDigest();
        mClaimedMilliseconds = record.getClaimedMilliseconds();
        mOpaque = record.getOpaque();
        mAttempt = record.getAttempt();
        mAgent = record.getAgent();
        mBoot = record.getBoot();
        mOutcome = record.hasOutcome() ? Optional.of(record.getOutcome()) : Optional.empty();
    }

    static HeldClaim restore(ClaimRecord record) {
        return new HeldClaim(record);
    }

    static HeldClaim create(Claim claim, long number, long nowMilliseconds, boolean opaque) {
        return new HeldClaim(
                ClaimRecord.newBuilder()
                        .setTeam(claim.getTeam())
                        .setService(claim.getService())
                        .setKey(claim.getKey())
                        .setBodyDigest(claim.getBodyDigest())
                        .setAttempt(AttemptIdentifier.newBuilder().setClaim(number).setEpoch(1))
                        .setAgent(claim.getAgent())
                        .setBoot(claim.getBoot())
                        .setClaimedMilliseconds(nowMilliseconds)
                        .setOpaque(opaque)
                        .build());
    }

    ClaimKey key() {
        return mKey;
    }

    long number() {
        return mAttempt.getClaim();
    }

    long claimedMilliseconds() {
        return mClaimedMilliseconds;
    }

    boolean opaque() {
        return mOpaque;
    }

    Optional<Outcome> outcome() {
        return mOutcome;
    }

    /** Answers a request for the same key: the first answer, or where the attempt is bound. */
    ClaimReply resend(Claim claim) {
        if (!mBodyDigest.equals(claim.getBodyDigest())) {
            return reply(ClaimReply.Result.BODY_MISMATCH);
        }
        if (mOutcome.isPresent()) {
            return reply(ClaimReply.Result.FINISHED);
        }
        if (claim.hasTombstoned() && claim.getTombstoned().equals(mAttempt)) {
            bindNext(claim);
            return granted();
        }
        return reply(ClaimReply.Result.BOUND);
    }

    ClaimReply granted() {
        return reply(ClaimReply.Result.GRANTED);
    }

    /** Keeps the first outcome of the bound attempt; a resend of the same outcome succeeds. */
    boolean finish(RecordOutcome record) {
        boolean bound =
                record.getAttempt().equals(mAttempt)
                        && record.getAgent().equals(mAgent)
                        && record.getBoot() == mBoot;
        if (!bound) {
            return false;
        }
        if (mOutcome.isPresent()) {
            return isSame(mOutcome.get(), record.getOutcome());
        }
        mOutcome = Optional.of(record.getOutcome());
        return true;
    }

    // The body is left out, since the kept one may have been truncated meanwhile.
    private static boolean isSame(Outcome kept, Outcome resent) {
        return kept.getStatus() == resent.getStatus() && kept.getUnknown() == resent.getUnknown();
    }

    /** Forgets the kept answer but for its status; returns how many bytes that frees. */
    long truncate() {
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
                        .setAttempt(mAttempt)
                        .setAgent(mAgent)
                        .setBoot(mBoot)
                        .setClaimedMilliseconds(mClaimedMilliseconds)
                        .setOpaque(mOpaque);
        mOutcome.ifPresent(record::setOutcome);
        return record.build();
    }

    private void bindNext(Claim claim) {
        mAttempt = mAttempt.toBuilder().setEpoch(mAttempt.getEpoch() + 1).build();
        mAgent = claim.getAgent();
        mBoot = claim.getBoot();
    }

    private ClaimReply reply(ClaimReply.Result result) {
        ClaimReply.Builder reply = ClaimReply.newBuilder().setResult(result);
        if (result != ClaimReply.Result.BODY_MISMATCH) {
            reply.setAttempt(mAttempt).setAgent(mAgent).setBoot(mBoot);
            mOutcome.ifPresent(reply::setOutcome);
        }
        return reply.build();
    }
}
