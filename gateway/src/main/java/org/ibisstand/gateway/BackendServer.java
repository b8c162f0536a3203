package org.ibisstand.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.routing.overload.EngineRoom;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.ServerRecord;

/**
 * One incarnation of a backend server as this gateway sees it: its record, idle connections,
 * attempts in flight, observed health and weights.
 *
 * <p>Confined to the gateway's event loop. Times are in milliseconds of the gateway's clock.
 */
final class BackendServer {
    /** The backoff after a first failure; about ten round trips between availability zones. */
    private static final long INITIAL_BACKOFF_MILLISECONDS = 50;

    /** Bounds the backoff, so that a recovered server gets requests within 2 s. */
    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 2_000;

    /** Prevents overflow of the doubled backoff; its maximum is reached with a smaller shift. */
    private static final int MAXIMUM_BACKOFF_SHIFT = 10;

    /** A full queue has room again after a few responses. */
    private static final long REFUSAL_BACKOFF_MILLISECONDS = 100;

    /** The weight of one response in the failure share: about the last 20 responses count. */
    private static final double FAILURE_SMOOTHING_FACTOR = 0.05;

    /** Agents send a notice every second; one that is silent for longer is down. */
    private static final long NOTICE_LIFETIME_MILLISECONDS = 2_500;

    /**
     * The time before runs are moved from a leaving server: most end by themselves within it, and
     * the server keeps running for 2 s or more.
     */
    private static final long LEAVING_GRACE_MILLISECONDS = 800;

    /**
     * For how long a leaving server still takes the runs that it stopped, or was about to take.
     * Below the 2 s for which leaving servers take requests.
     */
    private static final long LEAVING_RESUMPTION_MILLISECONDS = 1_500;

    private final Address mAddress;
    private final StatedAvailability mAvailability;
    private final Deque<BackendConnection> mIdleConnections = new ArrayDeque<>();
    private ServerRecord mRecord;
    private long mPendingTokens;
    private int mConsecutiveFailures;
    private long mBackoffUntil;
    private double mFailureShare;
    private Optional<ServerLoad> mLoad = Optional.empty();
    private int mSentSinceLoadReport;
    private final Set<Attempt> mAttempts = new LinkedHashSet<>();
    private final Map<String, Long> mObservedWeights = new HashMap<>();
    private final Map<String, Long> mAssumedWeights = new HashMap<>();
    private Optional<EngineNotice> mNotice = Optional.empty();
    private long mNoticeReceivedAt;
    private int mInFlightAtNotice;
    private long mLastReceivedAt;
    private long mLeavingSince = Long.MAX_VALUE;
    private boolean mRemoved;

    /**
     * Creates a server.
     *
     * @param record the record of the server
     * @param availability what the incarnation said, which may have been listed before
     */
    BackendServer(ServerRecord record, StatedAvailability availability) {
        mRecord = record;
        mAvailability = availability;
        mAddress = Address.parse(record.getAddress());
        recordWeights(record.getWeightsMap(), "record");
    }

    /** Returns whether a record names a server that requests can be sent to. */
    static boolean isUsable(ServerRecord record) {
        try {
            return !record.getServer().isEmpty() && Address.parse(record.getAddress()).port() > 0;
        } catch (IbisstandException e) {
            return false;
        }
    }

    String name() {
        return mRecord.getServer();
    }

    Address address() {
        return mAddress;
    }

    ServerRecord record() {
        return mRecord;
    }

    void update(ServerRecord record, long now) {
        mRecord = record;
        recordWeights(record.getWeightsMap(), "record");
        if (record.getState() == ServerRecord.State.READY) {
            mLeavingSince = Long.MAX_VALUE;
        } else {
            mLeavingSince = Math.min(mLeavingSince, now);
        }
    }

    boolean acceptsRequests() {
        return !mRemoved
                && !mAvailability.isLeaving()
                && mRecord.getState() == ServerRecord.State.READY;
    }

    /** Stops sending requests here for good, as a response said that the server will stop soon. */
    void recordLeaving(long now) {
        if (mAvailability.recordLeaving(now)) {
            closeIdleConnections();
            LogLine.info("server_leaves")
                    .with("server", name())
                    .with("in_flight", inFlight())
                    .write();
        }
    }

    /**
     * Stops sending requests here and closes idle connections; requests in progress continue. The
     * server may only have been silent, so its runs stay unless it says that it leaves.
     */
    void markRemoved() {
        mRemoved = true;
        closeIdleConnections();
    }

    /** Makes a server that was removed receive requests again, as its record is listed again. */
    void markListed() {
        mRemoved = false;
    }

    /** Sends no requests here for a while, as the server asked in a response. */
    void recordPause(long milliseconds, long now) {
        mAvailability.recordPause(milliseconds, now);
        LogLine.info("server_pauses")
                .with("server", name())
                .with("milliseconds", milliseconds)
                .with("in_flight", inFlight())
                .write();
    }

    /** Records a response that asks for no pause. */
    void recordNoPause(long now) {
        mAvailability.recordNoPause(now);
    }

    /** Returns whether the server asked for no requests until later. */
    boolean isPaused(long now) {
        return mAvailability.isPaused(now);
    }

    /** Returns whether the server did not ask for a pause, or its end may be tried. */
    boolean wantsRequest(long now) {
        return mAvailability.wantsRequest(now);
    }

    /** Returns for how long the server wants no requests; zero if it wants some. */
    long pauseMilliseconds(long now) {
        return mAvailability.pauseMilliseconds(now);
    }

    void closeIdleConnections() {
        while (!mIdleConnections.isEmpty()) {
            mIdleConnections.poll().close();
        }
    }

    Deque<BackendConnection> idleConnections() {
        return mIdleConnections;
    }

    int inFlight() {
        return mAttempts.size();
    }

    /** Returns the prompt tokens of requests in flight that have not received a first event. */
    long pendingTokens() {
        return mPendingTokens;
    }

    void attemptSent(Attempt attempt, int tokens, long now) {
        if (mAttempts.isEmpty()) {
            mLastReceivedAt = now;
        }
        mAttempts.add(attempt);
        mAvailability.attemptSent(attempt, now);
        mPendingTokens += tokens;
        mSentSinceLoadReport++;
    }

    void removePendingTokens(int tokens) {
        mPendingTokens -= tokens;
    }

    void attemptEnded(Attempt attempt) {
        mAttempts.remove(attempt);
        mAvailability.attemptEnded(attempt);
    }

    Set<Attempt> attempts() {
        return mAttempts;
    }

    /** Stores what the engine's agent reports. */
    void updateNotice(EngineNotice notice, long now) {
        mNotice = Optional.of(notice);
        recordWeights(notice.getWeightsMap(), "notice");
        mNoticeReceivedAt = now;
        mInFlightAtNotice = inFlight();
    }

    /**
     * Returns how many more requests like one of this gateway the engine has room for.
     *
     * @param engine the settings of the service's engines
     * @param neededTokens the memory that one request needs until its end
     * @param gateways the number of gateways, which share engines that report nothing
     * @param now the current time
     */
    int room(RoutedService.Engine engine, long neededTokens, int gateways, long now) {
        Optional<EngineNotice> notice = notice(now);
        if (notice.isEmpty()) {
            return EngineRoom.unreported(engine.slots(), gateways, inFlight());
        }
        int sentSince = inFlight() - mInFlightAtNotice;
        int usedSlots = notice.get().getRunning() + notice.get().getWaiting() + sentSince;
        long usedTokens = notice.get().getUsedTokens() + pendingTokens();
        return EngineRoom.reported(
                engine.slots() - usedSlots, engine.cacheTokens() - usedTokens, neededTokens);
    }

    /** Returns the agent's latest notice, unless it is outdated. */
    Optional<EngineNotice> notice(long now) {
        return mNotice.filter(notice -> now - mNoticeReceivedAt < NOTICE_LIFETIME_MILLISECONDS);
    }

    /** Returns whether the engine is loading weights, or will as soon as its runs have ended. */
    boolean isLoading(long now) {
        return notice(now).filter(EngineNotice::getLoading).isPresent();
    }

    /** Returns whether the engine has these weights and its agent reports no load of others. */
    boolean hasStableWeights(String model, long version, long now) {
        return notice(now).isPresent() && !isLoading(now) && observedWeights(model) == version;
    }

    /** Returns whether to move runs elsewhere: the engine is loading weights or will soon stop. */
    boolean shouldMoveRuns(long now) {
        long leavingSince = leavingSince();
        return isLoading(now)
                || (leavingSince != Long.MAX_VALUE
                        && now - leavingSince > LEAVING_GRACE_MILLISECONDS);
    }

    /** Returns whether a run whose KV cache is here may still be sent here. */
    boolean resumesRuns(long now) {
        long leavingSince = leavingSince();
        return leavingSince == Long.MAX_VALUE
                || now - leavingSince < LEAVING_RESUMPTION_MILLISECONDS;
    }

    /** Returns since when the server is known to stop soon; the end of time if it is not. */
    private long leavingSince() {
        return Math.min(mLeavingSince, mAvailability.leavingSince());
    }

    /** Returns whether the engine does not answer its own agent. */
    boolean isUnreachable(long now) {
        return notice(now).filter(EngineNotice::getUnreachable).isPresent();
    }

    long noticeAgeMilliseconds(long now) {
        return now - mNoticeReceivedAt;
    }

    /** Records the weights version that a response names. */
    void recordResponseWeights(String model, long version) {
        recordWeights(Map.of(model, version), "answer");
    }

    /** Ignores older versions: an incarnation never goes back, so they are from late messages. */
    private void recordWeights(Map<String, Long> weights, String source) {
        weights.forEach(
                (model, version) -> {
                    mAssumedWeights.remove(model);
                    long previous = observedWeights(model);
                    if (version > previous) {
                        mObservedWeights.put(model, version);
                        logWeights(model, previous, version, source);
                    }
                });
    }

    /**
     * Assumes a weights version because the server refused a request for another one, until the
     * server or its agent reports the actual version.
     */
    void assumeWeights(String model, long version) {
        long previous = expectedWeights(model);
        mAssumedWeights.merge(model, version, Math::max);
        logWeights(model, previous, expectedWeights(model), "refusal");
    }

    private void logWeights(String model, long previous, long version, String source) {
        if (previous != version) {
            LogLine.info("engine_weights")
                    .with("server", name())
                    .with("model", model)
                    .with("before", previous)
                    .with("version", version)
                    .with("source", source)
                    .write();
        }
    }

    /**
     * Returns the version of a model's weights to name in a request to the server. It may be
     * assumed rather than observed: a server with another version refuses the request.
     */
    long expectedWeights(String model) {
        return Math.max(observedWeights(model), mAssumedWeights.getOrDefault(model, 0L));
    }

    /** Returns the newest observed version of a model's weights; zero if none was observed. */
    long observedWeights(String model) {
        return mObservedWeights.getOrDefault(model, 0L);
    }

    void recordReceived(long now) {
        mLastReceivedAt = now;
    }

    /** Returns for how long nothing was received; zero if no request is in flight. */
    long silentMilliseconds(long now) {
        return mAttempts.isEmpty() ? 0 : now - mLastReceivedAt;
    }

    void updateLoad(ServerLoad load) {
        mLoad = Optional.of(load);
        mSentSinceLoadReport = 0;
    }

    Optional<ServerLoad> load() {
        return mLoad;
    }

    int sentSinceLoadReport() {
        return mSentSinceLoadReport;
    }

    void recordSuccess() {
        mConsecutiveFailures = 0;
        mBackoffUntil = 0;
        mFailureShare *= 1 - FAILURE_SMOOTHING_FACTOR;
    }

    /** Records an error response. It ends the backoff, since it does not mean an outage. */
    void recordFailureResponse() {
        mConsecutiveFailures = 0;
        mBackoffUntil = 0;
        mFailureShare += FAILURE_SMOOTHING_FACTOR * (1 - mFailureShare);
    }

    /**
     * Records a failure of an attempt. A load may reset runs; the engine that then has the newest
     * weights is not at fault.
     */
    void recordFailureUnlessLoading(long now) {
        if (!isLoading(now)) {
            recordFailure(now);
        }
    }

    /** Records a connection that was refused, broke or fell silent, and doubles the backoff. */
    void recordFailure(long now) {
        mFailureShare += FAILURE_SMOOTHING_FACTOR * (1 - mFailureShare);
        long backoff =
                Math.min(
                        MAXIMUM_BACKOFF_MILLISECONDS,
                        INITIAL_BACKOFF_MILLISECONDS
                                << Math.min(mConsecutiveFailures, MAXIMUM_BACKOFF_SHIFT));
        mConsecutiveFailures++;
        mBackoffUntil = now + backoff;
    }

    /** Backs off after a refusal: the server is full or carries out an order of its agent. */
    void recordRefusal(long now) {
        mBackoffUntil = Math.max(mBackoffUntil, now + REFUSAL_BACKOFF_MILLISECONDS);
    }

    /**
     * Returns whether another server should be preferred. After a failure, one request at a time
     * probes whether the server has recovered.
     */
    boolean isBackingOff(long now) {
        boolean isProbing = mConsecutiveFailures > 0 && !mAttempts.isEmpty();
        return now < mBackoffUntil || isProbing || isUnreachable(now);
    }

    double failureShare() {
        return mFailureShare;
    }
}
