package org.ibisstand.control;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.routing.quota.QuotaDemand;
import org.ibisstand.routing.quota.QuotaGrant;
import org.ibisstand.routing.quota.QuotaLedger;
import org.ibisstand.wire.message.QuotaRequest;
import org.ibisstand.wire.message.QuotaResponse;

/**
 * Answers gateways that ask for units of team quotas, while this member leads; used on the control
 * thread. Gateways ask only about teams with a quota, so that nothing is done where there are none.
 */
final class QuotaService {
    /** Gateways give up after 300 ms and ask again; later answers would charge for nothing. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);

    /**
     * How long a new ledger collects levels before its first answer: long enough that most gateways
     * of a loaded deployment ask, and less than the timeout of their questions.
     */
    private static final Duration COLLECTION_TIME = Duration.ofMillis(150);

    private static final int LOGGED_TEAMS = 20;

    private final ControlState mState;
    private final Log mLog;
    private final LeadershipCheck mLeadership;
    private final ScheduledExecutorService mControlThread;
    private final Clock mClock;
    private final QuotaReader mReader = new QuotaReader();
    private final Counter mQuestions;
    private final Counter mGranted;
    private final Counter mRefused;
    private Optional<TermLedger> mLedger = Optional.empty();

    QuotaService(
            ControlState state,
            Log log,
            LeadershipCheck leadership,
            ScheduledExecutorService controlThread,
            Clock clock,
            MetricRegistry metrics) {
        mState = state;
        mLog = log;
        mLeadership = leadership;
        mControlThread = controlThread;
        mClock = clock;
        mQuestions = metrics.counter("quota.questions");
        mGranted = metrics.counter("quota.granted");
        mRefused = metrics.counter("quota.refused");
    }

    /**
     * Answers a gateway; fails with NOT_LEADER if this member does not lead or if no quorum
     * confirms it in time. Nothing is charged then.
     */
    CompletableFuture<QuotaResponse> answer(QuotaRequest request) {
        if (!mLog.status().leads()) {
            return CompletableFuture.failedFuture(notLeader("this member does not lead"));
        }
        Instant deadline = mClock.instant().plus(ANSWER_TIMEOUT);
        return mLeadership
                .confirm()
                .exceptionallyCompose(
                        failure ->
                                CompletableFuture.failedFuture(
                                        notLeader("no quorum confirmed that this member leads")))
                .thenCompose(confirmed -> answerConfirmed(request, deadline));
    }

    /** Ends the ledger of a member that leads no more, and logs a ledger that was rebuilt. */
    void tick() {
        LogStatus status = mLog.status();
        mLedger = mLedger.filter(ledger -> status.leads() && ledger.mTerm == status.term());
        mLedger.filter(ledger -> !ledger.mIsLogged && !ledger.mLedger.isRebuilding())
                .ifPresent(TermLedger::log);
    }

    private CompletableFuture<QuotaResponse> answerConfirmed(
            QuotaRequest request, Instant deadline) {
        LogStatus status = mLog.status();
        if (!status.leads()) {
            return CompletableFuture.failedFuture(notLeader("this member stopped leading"));
        }
        tick();
        TermLedger ledger = mLedger.orElseGet(() -> new TermLedger(status.term()));
        mLedger = Optional.of(ledger);
        mReader.readIfChanged(mState.routing(), ledger.mLedger, ledger.mIsConfigured);
        ledger.mIsConfigured = true;
        Instant now = mClock.instant();
        if (now.isBefore(ledger.mAnswersFrom)) {
            ledger.mLedger.collect(request.getGateway(), QuotaMessages.demandsOf(request));
            return answerLater(request, deadline, ledger, now);
        }
        return answerNow(request, deadline, ledger);
    }

    private CompletableFuture<QuotaResponse> answerLater(
            QuotaRequest request, Instant deadline, TermLedger ledger, Instant now) {
        CompletableFuture<Void> collected = new CompletableFuture<>();
        long wait = Duration.between(now, ledger.mAnswersFrom).toMillis();
        mControlThread.schedule(() -> collected.complete(null), wait, TimeUnit.MILLISECONDS);
        return collected.thenCompose(done -> answerNow(request, deadline, ledger));
    }

    private CompletableFuture<QuotaResponse> answerNow(
            QuotaRequest request, Instant deadline, TermLedger ledger) {
        boolean isCurrent = mLedger.filter(current -> current == ledger).isPresent();
        if (!isCurrent || !mLog.status().leads() || mClock.instant().isAfter(deadline)) {
            return CompletableFuture.failedFuture(
                    notLeader("this member could not confirm in time that it leads"));
        }
        List<QuotaDemand> demands = QuotaMessages.demandsOf(request);
        List<QuotaGrant> grants = ledger.mLedger.answer(request.getGateway(), demands);
        mQuestions.inc();
        for (int index = 0; index < grants.size(); index++) {
            int granted = grants.get(index).granted();
            mGranted.inc(granted);
            mRefused.inc(demands.get(index).requested().size() - granted);
        }
        return CompletableFuture.completedFuture(QuotaMessages.responseOf(grants));
    }

    private static IbisstandException notLeader(String message) {
        return new IbisstandException(ErrorCode.NOT_LEADER, message);
    }

    /** The ledger of one term in which this member leads. */
    private final class TermLedger {
        private final long mTerm;
        private final QuotaLedger mLedger = QuotaLedger.start(mClock);
        private final Instant mAnswersFrom = mClock.instant().plus(COLLECTION_TIME);
        private boolean mIsConfigured;
        private boolean mIsLogged;

        TermLedger(long term) {
            mTerm = term;
        }

        /** Logs once the levels that gateways reported no longer count. */
        private void log() {
            mIsLogged = true;
            List<String> rebuilt = new ArrayList<>(mLedger.rebuiltTeams());
            LogLine.info("quota_ledger_started")
                    .with("term", mTerm)
                    .with("teams", mLedger.teamCount())
                    .with("rebuilt", rebuilt.size())
                    .with(
                            "names",
                            String.join(
                                    ",",
                                    rebuilt.subList(0, Math.min(LOGGED_TEAMS, rebuilt.size()))))
                    .write();
        }
    }
}
