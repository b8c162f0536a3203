package org.ibisstand.entry;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.Digests;
import org.ibisstand.wire.ControlClient;
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.Claim;
import org.ibisstand.wire.message.ClaimReply;
import org.ibisstand.wire.message.Frame;

/** Claims non-idempotent requests at control before they are sent to an agent. */
final class Claims {
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(5);

    private final ControlClient mControl;

    Claims(ControlClient control) {
        mControl = control;
    }

    /**
     * Claims a request for an agent.
     *
     * @param call the request, with a key
     * @param agent where it would run
     * @param boot the boot of that agent
     * @param tombstoned the earlier attempt that its agent said never ran, to be taken over
     * @param timeLeft how long an answer is worth something
     */
    CompletableFuture<ClaimReply> claim(
            Call call,
            AgentIdentifier agent,
            BootIdentifier boot,
            Optional<AttemptIdentifier> tombstoned,
            Duration timeLeft) {
        Call.Target.Service target = (Call.Target.Service) call.target();
        Claim.Builder claim =
                Claim.newBuilder()
                        .setTeam(call.team().name())
                        .setService(target.service())
                        .setKey(call.idempotencyKey().orElseThrow())
                        .setBodyDigest(ByteString.copyFrom(digestOf(call)))
                        .setAgent(agent.value())
                        .setBoot(boot.value());
        tombstoned.ifPresent(claim::setTombstoned);
        Duration timeout = timeLeft.compareTo(CLAIM_TIMEOUT) < 0 ? timeLeft : CLAIM_TIMEOUT;
        return mControl.call(Frame.newBuilder().setClaim(claim).build(), timeout)
                .thenApply(Frame::getClaimReply);
    }

    /** Digests what makes two requests the same: method, path with query, and body. */
    private static byte[] digestOf(Call call) {
        return Digests.sha256(bytes(call.method()), bytes(call.path()), call.body());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
