package org.ibisstand.routing.overload;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.ibisstand.routing.TeamShares;

/**
 * Decides which requests run, wait or are rejected when engines run out of slots or KV cache
 * memory. Designed for one or a few teams that send a multiple of their usual load, for bursts of
 * requests of low priority, and for a cold start of a whole deployment under a burst. Performs no
 * I/O; confined to one thread.
 */
public final class OverloadPolicy {
    /** The bound of the queue of one gateway. */
    public static final int MAXIMUM_WAITING = 64;

    /**
     * A queue that was not polled for this long may have lost its timer, or its process was frozen
     * and everything that is known about engines is out of date.
     */
    private static final long UNPOLLED_LIMIT_MILLISECONDS = 500;

    /** An earlier retry would meet the same queue. */
    private static final double MINIMUM_RETRY_MILLISECONDS = 100;

    /** Callers wait at most this part of their remaining time before they retry. */
    private static final double RETRY_TIME_DIVISOR = 3;

    private static final OverloadDecision RUN = new OverloadDecision.Run();
    private static final OverloadDecision WAIT = new OverloadDecision.Wait();

    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final TeamShares mShares = new TeamShares();
    private final WaitingOrder mOrder = new WaitingOrder(mShares);
    private final Map<Long, WaitingRequest> mWaiting = new LinkedHashMap<>();
    private final Map<Long, String> mUnplaced = new HashMap<>();
    private final Map<String, DrainRate> mDrainRates = new HashMap<>();
    private long mPolledAtMilliseconds;
    private long mMeasuredAtMilliseconds;

    /**
     * Creates a policy without waiting requests.
     *
     * @param clock the time source, which must not jump
     * @param random the source of the jitter of retries
     */
    public OverloadPolicy(Clock clock, RandomGenerator random) {
        mClock = clock;
        mRandom = random;
        mPolledAtMilliseconds = clock.millis();
        mMeasuredAtMilliseconds = mPolledAtMilliseconds;
    }

    /**
     * A request and what was decided about it.
     *
     * @param request the request
     * @param decision to run or to reject it
     * @param waitedMilliseconds how long it was in the queue
     */
    public record Settled(
            OverloadRequest request, OverloadDecision decision, long waitedMilliseconds) {}

    /**
     * The decision about a request that has just arrived.
     *
     * @param decision what happens to the request
     * @param displaced the waiting request that is rejected because the new one goes before it
     */
    public record Arrival(OverloadDecision decision, Optional<Settled> displaced) {}

    /**
     * Decides about a new request, which is in the queue afterwards if it waits.
     *
     * @param request the request
     * @param forecast what is known about its engines
     */
    public Arrival arrive(OverloadRequest request, EngineForecast forecast) {
        long now = mClock.millis();
        measure(now);
        if (mWaiting.isEmpty()) {
            mPolledAtMilliseconds = now;
        }
        WaitingRequest added = new WaitingRequest(request, forecast, now);
        if (added.isTooLate(now)) {
            return only(reject(request, OverloadDecision.Reason.TOO_LATE, now));
        }
        List<WaitingRequest> candidates = new ArrayList<>(mWaiting.values());
        candidates.add(added);
        List<WaitingRequest> order = mOrder.sorted(candidates, now);
        int ahead = countAhead(order, added);
        if (ahead == 0 && mayRun(added, 0)) {
            if (mWaiting.values().stream().anyMatch(each -> isSameService(each, request))) {
                drainRate(request.service()).recordRun();
            }
            run(request);
            return only(RUN);
        }
        double wait = drainRate(request.service()).drainMilliseconds(ahead);
        long remaining = request.deadlineAtMilliseconds() - now;
        if (forecast.predictedMilliseconds() + wait > remaining) {
            return only(reject(request, OverloadDecision.Reason.TOO_LATE, now));
        }
        mWaiting.put(request.identifier(), added);
        if (mWaiting.size() <= MAXIMUM_WAITING) {
            return only(WAIT);
        }
        WaitingRequest last = order.getLast();
        mWaiting.remove(last.request().identifier());
        OverloadDecision rejection =
                reject(last.request(), OverloadDecision.Reason.QUEUE_FULL, now);
        return last == added
                ? only(rejection)
                : new Arrival(WAIT, Optional.of(settled(last, rejection, now)));
    }

    /**
     * Decides about the waiting requests; those that are returned are no longer in the queue. Later
     * requests of a service do not run before an earlier one, which may need more memory and would
     * otherwise wait until its deadline.
     *
     * @param forecasts returns what is known at present about the engines of a request
     */
    public List<Settled> poll(Function<OverloadRequest, EngineForecast> forecasts) {
        long now = mClock.millis();
        measure(now);
        boolean isUnpolled = now - mPolledAtMilliseconds > UNPOLLED_LIMIT_MILLISECONDS;
        List<Settled> settled = isUnpolled ? settleAll(now) : settle(forecasts, now);
        for (Settled each : settled) {
            mWaiting.remove(each.request().identifier());
            if (each.decision() instanceof OverloadDecision.Run) {
                drainRate(each.request().service()).recordRun();
                run(each.request());
            }
        }
        mPolledAtMilliseconds = now;
        return settled;
    }

    /** Removes a request that has left the queue or will not be placed after it ran. */
    public void remove(long identifier) {
        mWaiting.remove(identifier);
        mUnplaced.remove(identifier);
    }

    /** Notes that the engine of a request that ran is chosen and forecasts include the request. */
    public void placed(long identifier) {
        mUnplaced.remove(identifier);
    }

    /** Returns the number of requests in the queue. */
    public int waiting() {
        return mWaiting.size();
    }

    private static Arrival only(OverloadDecision decision) {
        return new Arrival(decision, Optional.empty());
    }

    private List<Settled> settleAll(long now) {
        List<Settled> settled = new ArrayList<>();
        for (WaitingRequest waiting : mOrder.sorted(mWaiting.values(), now)) {
            boolean isOver = waiting.request().deadlineAtMilliseconds() <= now;
            settled.add(
                    settled(
                            waiting,
                            isOver
                                    ? reject(
                                            waiting.request(),
                                            OverloadDecision.Reason.TOO_LATE,
                                            now)
                                    : RUN,
                            now));
        }
        return settled;
    }

    private List<Settled> settle(Function<OverloadRequest, EngineForecast> forecasts, long now) {
        List<Settled> settled = new ArrayList<>();
        Map<String, Integer> running = new HashMap<>();
        Set<String> blocked = new HashSet<>();
        for (WaitingRequest waiting : mOrder.sorted(mWaiting.values(), now)) {
            OverloadRequest request = waiting.request();
            boolean isBlocked = blocked.contains(request.service());
            // Forecasts of requests that cannot run now are made only if they decide a rejection,
            // since each takes a computation for every engine.
            if (!isBlocked || waiting.isTooLate(now)) {
                waiting.setForecast(forecasts.apply(request));
            }
            if (waiting.isTooLate(now)) {
                settled.add(
                        settled(
                                waiting,
                                reject(request, OverloadDecision.Reason.TOO_LATE, now),
                                now));
            } else if (!isBlocked && mayRun(waiting, running.getOrDefault(request.service(), 0))) {
                running.merge(request.service(), 1, Integer::sum);
                settled.add(settled(waiting, RUN, now));
            } else {
                blocked.add(request.service());
            }
        }
        return settled;
    }

    private static Settled settled(WaitingRequest waiting, OverloadDecision decision, long now) {
        return new Settled(waiting.request(), decision, now - waiting.sinceMilliseconds());
    }

    /**
     * Returns whether a request may run: an engine has room for it besides the requests that run
     * and whose engines are still being chosen, or it meets its objective without. A prediction
     * holds for one request of a poll: with it, a whole queue would run as one slot gets free.
     */
    private boolean mayRun(WaitingRequest waiting, int alsoRunning) {
        OverloadRequest request = waiting.request();
        EngineForecast forecast = waiting.forecast();
        long unplaced =
                mUnplaced.values().stream().filter(request.service()::equals).count() + alsoRunning;
        boolean meetsObjective =
                alsoRunning == 0
                        && forecast.hasReport()
                        && forecast.predictedMilliseconds() <= request.objectiveMilliseconds();
        return forecast.room() > unplaced || meetsObjective;
    }

    private void run(OverloadRequest request) {
        mUnplaced.put(request.identifier(), request.service());
        mShares.charge(request.team(), request.tokens());
    }

    private OverloadDecision.Reject reject(
            OverloadRequest request, OverloadDecision.Reason reason, long now) {
        int waiting =
                (int)
                        mWaiting.values().stream()
                                .filter(each -> isSameService(each, request))
                                .count();
        double limit = Math.max(0, request.deadlineAtMilliseconds() - now) / RETRY_TIME_DIVISOR;
        double drain = drainRate(request.service()).drainMilliseconds(waiting);
        // Half of the limit leaves the other half for the jitter, which a limit on the sum would
        // take away from callers with the same remaining time.
        double earliest = Math.min(Math.max(MINIMUM_RETRY_MILLISECONDS, drain), limit / 2);
        long milliseconds = Math.round(earliest * (1 + mRandom.nextDouble()));
        return new OverloadDecision.Reject(Duration.ofMillis(milliseconds), reason);
    }

    private static boolean isSameService(WaitingRequest waiting, OverloadRequest request) {
        return waiting.request().service().equals(request.service());
    }

    private static int countAhead(List<WaitingRequest> order, WaitingRequest added) {
        return (int)
                order.stream()
                        .takeWhile(each -> each != added)
                        .filter(each -> isSameService(each, added.request()))
                        .count();
    }

    /** Counts the time since the last measurement for the services that requests waited for. */
    private void measure(long now) {
        long elapsed = now - mMeasuredAtMilliseconds;
        mMeasuredAtMilliseconds = now;
        mWaiting.values().stream()
                .map(waiting -> waiting.request().service())
                .distinct()
                .forEach(service -> drainRate(service).recordWaiting(elapsed));
    }

    private DrainRate drainRate(String service) {
        return mDrainRates.computeIfAbsent(service, name -> new DrainRate());
    }
}
