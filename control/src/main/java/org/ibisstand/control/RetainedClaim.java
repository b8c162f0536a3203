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
    private final long mNumber;
    private int mEpoch;
    private String mAgent;
    private long mBoot;
    private Optional<Outcome> mOutcome = Optional.empty();

    private HeldClaim(ClaimRecord record, Names names) {
        mKey =
                new ClaimKey(
                        names.shared(record.getTeam()),
                        names.shared(record.getService()),
                        record.getKey());
        mBodyDigest = record.getBodyDigest();
        mClaimedMilliseconds = record.getClaimedMilliseconds();
        mOpaque = record.getOpaque();
        mNumber = record.getAttempt().getClaim();
        mEpoch = record.getAttempt().getEpoch();
        mAgent = names.shared(record.getAgent());
        mBoot = record.getBoot();
        mOutcome = record.hasOutcome() ? Optional.of(record.getOutcome()) : Optional.empty();
    }

    static HeldClaim restore(ClaimRecord record, Names names) {
        return new HeldClaim(record, names);
    }

    static HeldClaim create(
            Claim claim, long number, long nowMilliseconds, boolean opaque, Names names) {
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
                        .build(),
                names);
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
        if (claim.hasTombstoned() && claim.getTombstoned().equals(attempt())) {
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
                record.getAttempt().equals(attempt())
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
                        .setAttempt(attempt())
                        .setAgent(mAgent)
                        .setBoot(mBoot)
                        .setClaimedMilliseconds(mClaimedMilliseconds)
                        .setOpaque(mOpaque);
        mOutcome.ifPresent(record::setOutcome);
        return record.build();
    }

    // Not kept, since a message for each of very many claims would take more than its content.
    private AttemptIdentifier attempt() {
        return AttemptIdentifier.newBuilder().setClaim(mNumber).setEpoch(mEpoch).build();
    }

    private void bindNext(Claim claim) {
        mEpoch++;
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
