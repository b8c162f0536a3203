package org.ibisstand.wire;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.wire.message.Frame;

/**
 * Sends requests to the member of control that leads, wherever that is at the moment.
 *
 * <p>Every request of control may be sent again: commands carry what lets a repeated one get the
 * first result.
 */
public final class ControlClient implements AutoCloseable {
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1_500);
    private static final long LONGEST_PAUSE_MILLISECONDS = 80;

    private final WireContext mContext;
    private final Clock mClock;
    private final List<WireClient> mMembers;
    private volatile int mPreferred;

    private ControlClient(WireContext context, Clock clock, List<WireClient> members) {
        mContext = context;
        mClock = clock;
        mMembers = members;
    }

    /**
     * Connects to all members of control and stays connected until closed.
     *
     * @param context what the connections share
     * @param clock bounds the attempts
     * @param members the addresses of the members
     * @param handler receives what members send of their own accord
     */
    public static ControlClient connect(
            WireContext context,
            Clock clock,
            List<InetSocketAddress> members,
            FrameHandler handler) {
        List<WireClient> clients =
                members.stream()
                        .map(address -> WireClient.connect(context, address, handler))
                        .toList();
        return new ControlClient(context, clock, clients);
    }

    /** Returns the connections that are open at the moment. */
    public List<WireConnection> connections() {
        return mMembers.stream().flatMap(member -> member.connection().stream()).toList();
    }

    /** Returns the address of the member that requests go to first. */
    public InetSocketAddress preferred() {
        return mMembers.get(mPreferred).address();
    }

    /**
     * Sends a request to the leader; looks for another leader until the timeout.
     *
     * @param request what to send; may be sent several times
     * @param timeout how long to try in all
     * @return the answer; fails with NO_QUORUM if no leader answered, or with the leader's refusal
     */
    public CompletableFuture<Frame> call(Frame request, Duration timeout) {
        CompletableFuture<Frame> answer = new CompletableFuture<>();
        attempt(request, mClock.instant().plus(timeout), answer);
        return answer;
    }

    private void attempt(Frame request, Instant deadline, CompletableFuture<Frame> answer) {
        Duration left = Duration.between(mClock.instant(), deadline);
        if (left.isNegative() || left.isZero()) {
            answer.completeExceptionally(
                    new IbisstandException(ErrorCode.NO_QUORUM, "no leader of control answered"));
            return;
        }
        int member = mPreferred;
        Duration timeout = left.compareTo(ATTEMPT_TIMEOUT) < 0 ? left : ATTEMPT_TIMEOUT;
        mMembers.get(member)
                .call(request.toBuilder(), timeout)
                .whenComplete(
                        (frame, failure) -> {
                            if (failure == null) {
                                answer.complete(frame);
                            } else {
                                handleFailure(member, request, deadline, answer, failure);
                            }
                        });
    }

    private void handleFailure(
            int member,
            Frame request,
            Instant deadline,
            CompletableFuture<Frame> answer,
            Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (!(cause instanceof IbisstandException refused) || !isAboutLeader(refused.code())) {
            answer.completeExceptionally(cause);
            return;
        }
        prefer(member, Failures.leaderIn(refused));
        long pause = 1 + mContext.random().nextLong(LONGEST_PAUSE_MILLISECONDS);
        mContext.group()
                .schedule(() -> attempt(request, deadline, answer), pause, TimeUnit.MILLISECONDS);
    }

    private void prefer(int failed, Optional<String> leader) {
        Optional<Integer> hinted = leader.flatMap(this::memberAt);
        if (hinted.isPresent() && hinted.get() != failed) {
            mPreferred = hinted.get();
        } else if (mPreferred == failed) {
            mPreferred = (failed + 1) % mMembers.size();
        }
    }

    private Optional<Integer> memberAt(String address) {
        for (int member = 0; member < mMembers.size(); member++) {
            InetSocketAddress known = mMembers.get(member).address();
            if (address.equals(known.getHostString() + ":" + known.getPort())) {
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

    private static boolean isAboutLeader(ErrorCode code) {
        return switch (code) {
            case NOT_LEADER,
                    NO_QUORUM,
                    OUTCOME_UNKNOWN,
                    AGENT_UNREACHABLE,
                    CONNECTION_LOST,
                    DEADLINE_EXCEEDED ->
                    true;
            default -> false;
        };
    }

    @Override
    public void close() {
        mMembers.forEach(WireClient::close);
    }
}
