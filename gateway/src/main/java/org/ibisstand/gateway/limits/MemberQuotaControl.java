package org.ibisstand.gateway.limits;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LoggedTask;
import org.ibisstand.fleet.FleetFollower;
import org.ibisstand.wire.Failures;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.QuotaRequest;

/** Asks members of control over the connections that the follower of the fleet keeps open. */
public final class MemberQuotaControl implements QuotaControl {
    /** The gate gives up earlier; this bounds what a connection remembers. */
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final FleetFollower mFollower;
    private final Executor mLoop;

    /**
     * Creates a client.
     *
     * @param follower keeps the connections
     * @param loop the event loop of the gateway, which receives the results
     */
    public MemberQuotaControl(FleetFollower follower, Executor loop) {
        mFollower = follower;
        mLoop = loop;
    }

    @Override
    public List<String> members() {
        return mFollower.members().stream().sorted().toList();
    }

    @Override
    public void ask(String member, QuotaRequest request, Consumer<Result> listener) {
        mFollower
                .call(member, Frame.newBuilder().setQuotaRequest(request), TIMEOUT)
                .handle((frame, failure) -> failure == null ? answered(frame) : failed(failure))
                .thenAccept(
                        result ->
                                mLoop.execute(
                                        LoggedTask.of(
                                                "quota_answer", () -> listener.accept(result))));
    }

    private static Result answered(Frame frame) {
        return frame.hasQuotaResponse() ? new Answered(frame.getQuotaResponse()) : new Lost();
    }

    private static Result failed(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof IbisstandException refusal) {
            if (refusal.code() == ErrorCode.NOT_LEADER) {
                return new NotCounted(Failures.leaderIn(refusal));
            }
            if (refusal.code() == ErrorCode.AGENT_UNREACHABLE) {
                return new NotCounted(Optional.empty());
            }
        }
        return new Lost();
    }
}
