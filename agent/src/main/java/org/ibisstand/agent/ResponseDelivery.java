package org.ibisstand.agent;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.PrefixChain;
import org.ibisstand.base.Verdict;
import org.ibisstand.wire.Failures;
import org.ibisstand.wire.OutboundStream;
import org.ibisstand.wire.message.End;
import org.ibisstand.wire.message.Outcome;

/**
 * Completes responses: records the outcome of a claimed request first, then sends the last frame of
 * each stream.
 *
 * <p>For the control thread only.
 */
final class ResponseDelivery {
    private static final Duration RECORD_TIMEOUT = Duration.ofSeconds(2);
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final Clock mClock;
    private final ScheduledExecutorService mControlThread;
    private final OutcomeRecorder mRecorder;
    private final Attempts<Execution> mAttempts;
    private final ExecutionMetrics mMetrics;

    ResponseDelivery(
            Clock clock,
            ScheduledExecutorService controlThread,
            OutcomeRecorder recorder,
            Attempts<Execution> attempts,
            ExecutionMetrics metrics) {
        mClock = clock;
        mControlThread = controlThread;
        mRecorder = recorder;
        mAttempts = attempts;
        mMetrics = metrics;
    }

    /** Ends the streams of an unclaimed request whose response is complete. */
    void end(Execution execution) {
        execution.streams().forEach(stream -> stream.end(endFrame(execution)));
    }

    /** Records the outcome before responding, so that a resend gets the same response. */
    void record(Execution execution, Outcome outcome) {
        AttemptKey key = execution.attempt().orElseThrow();
        mRecorder
                .record(key, outcome)
                .whenCompleteAsync((ignored, failure) -> mAttempts.markEnded(key), mControlThread)
                .orTimeout(RECORD_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .whenCompleteAsync(
                        (ignored, failure) -> {
                            if (failure != null) {
                                mMetrics.recordDelayed();
                            }
                            execution.setOutcome(outcome);
                            deliver(execution, execution.streams());
                        },
                        mControlThread);
    }

    /** Sends the outcome of a claimed request if it is known already. */
    void deliver(Execution execution, List<OutboundStream> streams) {
        Optional<Outcome> outcome = execution.outcome();
        if (outcome.isEmpty()) {
            return;
        }
        for (OutboundStream stream : streams) {
            if (outcome.get().getUnknown()) {
                stream.fail(
                        Failures.frameOf(
                                new Verdict.MayHaveRun(
                                        ErrorCode.OUTCOME_UNKNOWN,
                                        "the backend server sent no complete response")));
            } else {
                execution.deliverBuffered(stream, endFrame(execution));
            }
        }
    }

    /**
     * Returns the number of leading pieces that the engine found in its cache, computed from the
     * token counts in its response; empty if it reported none.
     */
    OptionalInt cachedPieces(Execution execution) {
        PrefixChain chain = execution.chain();
        Optional<Integer> cached = execution.usage().cachedTokens();
        Optional<Integer> prompt = execution.usage().promptTokens().filter(tokens -> tokens > 0);
        if (cached.isEmpty() || prompt.isEmpty() || chain.length() == 0) {
            return OptionalInt.empty();
        }
        double cachedBytes = (double) chain.promptBytes() * cached.get() / prompt.get();
        return OptionalInt.of((int) Math.round(cachedBytes / chain.pieceBytes()));
    }

    private End.Builder endFrame(Execution execution) {
        Instant firstByteAt = execution.firstByteAt().orElseGet(mClock::instant);
        End.Builder end =
                End.newBuilder()
                        .setWaitMilliseconds(
                                millisecondsBetween(
                                        execution.receivedAt(), execution.dispatchedAt()))
                        .setFirstByteMilliseconds(
                                millisecondsBetween(execution.dispatchedAt(), firstByteAt))
                        .setServiceMilliseconds(
                                millisecondsBetween(execution.dispatchedAt(), mClock.instant()));
        execution.usage().cachedTokens().ifPresent(end::setCachedTokens);
        execution.usage().promptTokens().ifPresent(end::setPromptTokens);
        return end;
    }

    private static double millisecondsBetween(Instant from, Instant to) {
        return Duration.between(from, to).toNanos() / NANOSECONDS_PER_MILLISECOND;
    }
}
