package org.ibisstand.gateway.limits;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.LoggedTask;
import org.ibisstand.settings.TeamQuota;
import org.ibisstand.wire.message.QuotaRequest;
import org.ibisstand.wire.message.QuotaResponse;
import org.ibisstand.wire.message.TeamGrant;

/**
 * Decides whether requests are within the quotas of their teams: at once out of an allowance, or
 * else by asking the leader of control. One question is in flight at a time; requests that arrive
 * meanwhile share the next one. Without an answer in time, the gateway decides alone by its own
 * part of the quota, until control answers again. Confined to the gateway's event loop.
 */
public final class QuotaGate {
    /** How long a request waits for control, and a question for its answer. */
    static final long ANSWER_TIMEOUT_MILLISECONDS = 300;

    /** Time to read an answer that arrived while the event loop was busy; due tasks run first. */
    static final long READ_MILLISECONDS = 1;

    /** Pause after all members refused a question at once, as during an election. */
    static final long RETRY_PAUSE_MILLISECONDS = 50;

    /**
     * Spending is told after at most this time, so that other gateways' requests are decided by a
     * current level; half the time that an allowance lasts.
     */
    static final long REPORT_DELAY_MILLISECONDS = LocalQuota.ALLOWANCE_MILLISECONDS / 2;

    private final String mGateway;
    private final QuotaControl mControl;
    private final Scheduler mScheduler;
    private final QuotaObserver mObserver;
    private final Clock mClock;
    private final Map<String, LocalQuota> mTeams = new HashMap<>();
    private final Set<String> mToReport = new HashSet<>();
    private final Deque<Waiting> mWaiting = new ArrayDeque<>();
    private final LeaderChoice mLeader = new LeaderChoice();
    private Optional<String> mAskedMember = Optional.empty();
    private Optional<String> mAnsweredBy = Optional.empty();
    private Optional<Question> mInFlight = Optional.empty();
    private Optional<Long> mAloneSince = Optional.empty();
    private int mGateways = 1;
    private boolean mPaused;
    private boolean mReportScheduled;
    private boolean mReportDue;
    private boolean mExpiryScheduled;

    /**
     * Creates a gate.
     *
     * @param gateway the process name of the gateway
     * @param control the members of control
     * @param scheduler runs tasks on the gateway's event loop
     * @param observer counts the decisions
     * @param clock the time source
     */
    public QuotaGate(
            String gateway,
            QuotaControl control,
            Scheduler scheduler,
            QuotaObserver observer,
            Clock clock) {
        mGateway = gateway;
        mControl = control;
        mScheduler = scheduler;
        mObserver = observer;
        mClock = clock;
    }

    /** Runs tasks later on the gateway's event loop. */
    public interface Scheduler {
        /** Schedules a task; its name is for the log. */
        void schedule(String name, Runnable task, long milliseconds);
    }

    /** A request that waits for control. */
    private static final class Waiting {
        private final String mTeam;
        private final long mUnits;
        private final long mSince;
        private final Consumer<QuotaDecision> mListener;
        private boolean mQueued;
        private boolean mDecided;
        private boolean mGranted;

        Waiting(String team, long units, long since, Consumer<QuotaDecision> listener) {
            mTeam = team;
            mUnits = units;
            mSince = since;
            mListener = listener;
        }
    }

    /** A question in flight; compared by identity. */
    private static final class Question {
        private final long mAskedAt;
        private final Map<String, List<Waiting>> mRequests;

        Question(long askedAt, Map<String, List<Waiting>> requests) {
            mAskedAt = askedAt;
            mRequests = requests;
        }

        private Stream<Waiting> undecided() {
            return mRequests.values().stream()
                    .flatMap(List::stream)
                    .filter(request -> !request.mDecided);
        }
    }

    /**
     * Applies a configuration, and drops what is known of teams that have no quota in it. Their
     * waiting requests are granted.
     *
     * @param teams the names of the teams with a quota
     * @param gateways how many gateways share the quotas
     */
    public void configure(Set<String> teams, int gateways) {
        // A member of control that restarted knows a part of the gateways, and parts would add up.
        mGateways = Math.max(mGateways, gateways);
        mTeams.keySet().retainAll(teams);
        mToReport.retainAll(teams);
        List<Waiting> released =
                Stream.concat(mWaiting.stream(), mInFlight.stream().flatMap(Question::undecided))
                        .filter(request -> !teams.contains(request.mTeam))
                        .toList();
        mWaiting.removeIf(request -> !teams.contains(request.mTeam));
        released.forEach(request -> decided(request, new QuotaDecision.Granted()));
    }

    /**
     * Decides about a request.
     *
     * @param team the name of the team
     * @param quota the quota of the team, which has a limit
     * @param units what the request counts
     * @param listener receives the decision: before this method returns, or later on the event loop
     */
    public void decide(String team, TeamQuota quota, long units, Consumer<QuotaDecision> listener) {
        LocalQuota local = localQuota(team, quota);
        Waiting request = new Waiting(team, units, mClock.millis(), listener);
        if (local.trySpendAllowance(units)) {
            reportSoon(team);
            decided(request, new QuotaDecision.Granted());
        } else if (mAloneSince.isPresent()) {
            decideAlone(request);
            ask();
        } else {
            request.mQueued = true;
            mWaiting.add(request);
            scheduleExpiry(ANSWER_TIMEOUT_MILLISECONDS);
            ask();
        }
    }

    /**
     * Returns the units of a granted request that did not run.
     *
     * @param team the name of the team
     * @param units what the request counted
     */
    public void refund(String team, long units) {
        LocalQuota local = mTeams.get(team);
        if (local != null) {
            local.refund(units);
            reportSoon(team);
        }
    }

    /** Returns how many teams the gate holds state of. */
    int teamCount() {
        return mTeams.size();
    }

    private LocalQuota localQuota(String team, TeamQuota quota) {
        LocalQuota known = mTeams.get(team);
        if (known == null || known.quota().unit() != quota.unit()) {
            // What was counted in the other unit means nothing in this one.
            known = new LocalQuota(quota, mGateways, mClock);
            mTeams.put(team, known);
        }
        known.update(quota, mGateways);
        return known;
    }

    private void decided(Waiting request, QuotaDecision decision) {
        request.mDecided = true;
        request.mGranted = decision instanceof QuotaDecision.Granted;
        if (request.mQueued) {
            mObserver.quotaWaited(mClock.millis() - request.mSince);
        }
        switch (decision) {
            case QuotaDecision.Granted granted -> mObserver.quotaGranted();
            case QuotaDecision.Refused refused -> mObserver.quotaRefused();
        }
        // A listener that fails must not keep others from their decisions.
        LoggedTask.of("quota_decision", () -> request.mListener.accept(decision)).run();
    }

    private void decideAlone(Waiting request) {
        LocalQuota local = mTeams.get(request.mTeam);
        reportSoon(request.mTeam);
        mObserver.quotaDecidedAlone();
        decided(
                request,
                local.tryChargeAlone(request.mUnits)
                        ? new QuotaDecision.Granted()
                        : local.refusedAlone());
    }

    /** Asks if a request waits, a report is due, or control is missed; reports alone can wait. */
    private void ask() {
        boolean isNeeded = !mWaiting.isEmpty() || mReportDue || mAloneSince.isPresent();
        if (!isNeeded || mInFlight.isPresent() || mPaused) {
            return;
        }
        Map<String, List<Waiting>> requests = new HashMap<>();
        mToReport.forEach(team -> requests.put(team, new ArrayList<>()));
        mWaiting.forEach(
                request ->
                        requests.computeIfAbsent(request.mTeam, team -> new ArrayList<>())
                                .add(request));
        if (requests.isEmpty()) {
            mReportDue = false;
            return;
        }
        Optional<String> member = mLeader.choose(mControl.members());
        if (member.isEmpty()) {
            pause();
            return;
        }
        if (!member.equals(mAnsweredBy)) {
            // A new leader rebuilds the levels of all teams from what gateways were told.
            mTeams.keySet()
                    .forEach(team -> requests.computeIfAbsent(team, name -> new ArrayList<>()));
        }
        mWaiting.clear();
        mToReport.clear();
        mReportDue = false;
        Question question = new Question(mClock.millis(), requests);
        mInFlight = Optional.of(question);
        mScheduler.schedule(
                "quota_time_out",
                () ->
                        mScheduler.schedule(
                                "quota_time_out", () -> timedOut(question), READ_MILLISECONDS),
                ANSWER_TIMEOUT_MILLISECONDS);
        mAskedMember = member;
        mControl.ask(member.get(), message(requests), result -> received(question, result));
    }

    private QuotaRequest message(Map<String, List<Waiting>> requests) {
        QuotaRequest.Builder message = QuotaRequest.newBuilder().setGateway(mGateway);
        requests.forEach(
                (team, waiting) ->
                        message.addTeams(
                                mTeams.get(team)
                                        .demand(
                                                team,
                                                waiting.stream()
                                                        .map(request -> request.mUnits)
                                                        .toList())));
        return message.build();
    }

    private void received(Question question, QuotaControl.Result result) {
        if (!isInFlight(question)) {
            // Its requests were asked about again or decided alone, so its grants are void.
            return;
        }
        switch (result) {
            case QuotaControl.Answered answered -> answered(question, answered.response());
            case QuotaControl.NotCounted notCounted -> {
                forEachTeam(question, LocalQuota::notCounted);
                refused(question, notCounted.leader());
            }
            case QuotaControl.Lost lost -> {
                forEachTeam(question, LocalQuota::lost);
                refused(question, Optional.empty());
            }
        }
    }

    private void refused(Question question, Optional<String> leader) {
        returnToQueue(question);
        if (mLeader.refused(mControl.members(), leader)) {
            ask();
        } else {
            pause();
        }
    }

    private void timedOut(Question question) {
        if (isInFlight(question)) {
            forEachTeam(question, LocalQuota::lost);
            returnToQueue(question);
            mLeader.silent(mControl.members());
            expireWaiting();
            ask();
        }
    }

    private boolean isInFlight(Question question) {
        return mInFlight.filter(current -> current == question).isPresent();
    }

    private void forEachTeam(Question question, Consumer<LocalQuota> action) {
        for (String team : question.mRequests.keySet()) {
            LocalQuota local = mTeams.get(team);
            if (local != null) {
                action.accept(local);
                if (local.hasReport()) {
                    reportSoon(team);
                }
            }
        }
    }

    /** Requests that are still undecided wait on, before those that arrived later. */
    private void returnToQueue(Question question) {
        mInFlight = Optional.empty();
        List<Waiting> all = new ArrayList<>(question.undecided().toList());
        all.sort((one, other) -> Long.compare(one.mSince, other.mSince));
        all.addAll(mWaiting);
        mWaiting.clear();
        mWaiting.addAll(all);
    }

    private void answered(Question question, QuotaResponse response) {
        mLeader.answered();
        mAnsweredBy = mAskedMember;
        endAlone();
        for (TeamGrant grant : response.getTeamsList()) {
            LocalQuota local = mTeams.get(grant.getTeam());
            List<Waiting> requests = question.mRequests.remove(grant.getTeam());
            if (local != null && requests != null) {
                local.answered(grant, question.mAskedAt);
                applyGrant(local, grant, requests);
            }
        }
        boolean isComplete = question.mRequests.isEmpty();
        forEachTeam(question, LocalQuota::lost);
        returnToQueue(question);
        if (isComplete) {
            ask();
        } else {
            // A member that leaves out a team would be asked in a tight loop.
            pause();
        }
    }

    private void applyGrant(LocalQuota local, TeamGrant grant, List<Waiting> requests) {
        for (int index = 0; index < requests.size(); index++) {
            Waiting request = requests.get(index);
            boolean isGranted = grant.getUnlimited() || index < grant.getGranted();
            if (!request.mDecided) {
                decided(
                        request,
                        isGranted
                                ? new QuotaDecision.Granted()
                                : local.refused(grant.getRetryAfterMilliseconds()));
            } else if (isGranted && !request.mGranted) {
                // Refused alone before the answer came. If granted alone, it is charged twice.
                local.refund(request.mUnits);
            }
        }
        if (local.hasReport()) {
            reportSoon(grant.getTeam());
        }
    }

    private void pause() {
        mPaused = true;
        mScheduler.schedule(
                "quota_retry",
                () -> {
                    mPaused = false;
                    ask();
                },
                RETRY_PAUSE_MILLISECONDS);
    }

    private void reportSoon(String team) {
        mToReport.add(team);
        if (!mReportScheduled) {
            mReportScheduled = true;
            mScheduler.schedule(
                    "quota_report",
                    () -> {
                        mReportScheduled = false;
                        mReportDue = true;
                        ask();
                    },
                    REPORT_DELAY_MILLISECONDS);
        }
    }

    private void scheduleExpiry(long milliseconds) {
        if (!mExpiryScheduled) {
            mExpiryScheduled = true;
            mScheduler.schedule(
                    "quota_expire",
                    () -> mScheduler.schedule("quota_expire", this::expire, READ_MILLISECONDS),
                    milliseconds);
        }
    }

    private void expire() {
        mExpiryScheduled = false;
        expireWaiting();
        ask();
    }

    /** Decides alone about the requests that have waited too long, and schedules the next check. */
    private void expireWaiting() {
        long latest = mClock.millis() - ANSWER_TIMEOUT_MILLISECONDS;
        List<Waiting> undecided =
                Stream.concat(mInFlight.stream().flatMap(Question::undecided), mWaiting.stream())
                        .toList();
        List<Waiting> expired =
                undecided.stream().filter(request -> request.mSince <= latest).toList();
        if (!expired.isEmpty()) {
            beginAlone(expired.size());
            // All others would only wait for what did not come.
            mWaiting.clear();
            undecided.forEach(this::decideAlone);
        } else {
            undecided.stream()
                    .mapToLong(request -> request.mSince)
                    .min()
                    .ifPresent(oldest -> scheduleExpiry(Math.max(1, oldest - latest)));
        }
    }

    private void beginAlone(int expired) {
        if (mAloneSince.isEmpty()) {
            mAloneSince = Optional.of(mClock.millis());
            LogLine.warning("quota_alone")
                    .with("state", "begins")
                    .with("expired", expired)
                    .with("members", mControl.members().size())
                    .with("gateways", mGateways)
                    .write();
        }
    }

    private void endAlone() {
        mAloneSince.ifPresent(
                since ->
                        LogLine.info("quota_alone")
                                .with("state", "ends")
                                .with("after_ms", mClock.millis() - since)
                                .write());
        mAloneSince = Optional.empty();
    }
}
