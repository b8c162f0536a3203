package org.ibisstand.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.base.LogLine;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.ServerRecord;

/**
 * One incarnation of a backend server as this entry sees it: its record, its connections and what
 * was observed of it. For the traffic thread only.
 */
final class BackendServer {
    /** The pause after a first failure; about ten round trips between availability zones. */
    private static final long FIRST_PAUSE_MILLISECONDS = 50;

    /** The longest pause, so that a server that is back gets requests within two seconds. */
    private static final long LONGEST_PAUSE_MILLISECONDS = 2_000;

    /** Keeps the doubled pause within its type; the longest pause is reached before. */
    private static final int LARGEST_SHIFT = 10;

    /** A queue that was full has room again after some answers. */
    private static final long REFUSED_PAUSE_MILLISECONDS = 100;

    /** The weight of one answer in the share of failures: about the last twenty answers count. */
    private static final double FAILURE_WEIGHT = 0.05;

    /** Agents repeat themselves every second; one that is silent for longer is down. */
    private static final long NOTICE_MILLISECONDS = 2_500;

    /** Most runs end in this time; servers that leave go on for two seconds or more. */
    private static final long LEAVING_MILLISECONDS = 800;

    private final Address mAddress;
    private final Deque<BackendConnection> mIdle = new ArrayDeque<>();
    private ServerRecord mRecord;
    private long mPendingTokens;
    private int mFailures;
    private long mPausedUntil;
    private double mFailureShare;
    private Optional<ServerLoad> mLoad = Optional.empty();
    private int mSentSinceLoad;
    private final Set<Attempt> mAttempts = new LinkedHashSet<>();
    private final Map<String, Long> mObservedWeights = new HashMap<>();
    private final Map<String, Long> mSuspectedWeights = new HashMap<>();
    private Optional<EngineNotice> mNotice = Optional.empty();
    private long mNoticeAt;
    private long mHeardAt;
    private long mLeavingSince = Long.MAX_VALUE;
    private boolean mRemoved;

    BackendServer(ServerRecord record) {
        mRecord = record;
        mAddress = Address.parse(record.getAddress());
        observed(record.getWeightsMap(), "record");
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

    void renew(ServerRecord record, long now) {
        mRecord = record;
        observed(record.getWeightsMap(), "record");
        if (record.getState() == ServerRecord.State.READY) {
            mLeavingSince = Long.MAX_VALUE;
        } else {
            mLeavingSince = Math.min(mLeavingSince, now);
        }
    }

    boolean takesRequests() {
        return !mRemoved && mRecord.getState() == ServerRecord.State.READY;
    }

    /** Closes idle connections; requests in progress go on. */
    void remove(long now) {
        mRemoved = true;
        mLeavingSince = Math.min(mLeavingSince, now);
        closeIdle();
    }

    void closeIdle() {
        while (!mIdle.isEmpty()) {
            mIdle.poll().close();
        }
    }

    Deque<BackendConnection> idle() {
        return mIdle;
    }

    int inFlight() {
        return mAttempts.size();
    }

    /** Returns the prompt tokens of requests that were sent and have no first event yet. */
    long pendingTokens() {
        return mPendingTokens;
    }

    void sent(Attempt attempt, int tokens, long now) {
        if (mAttempts.isEmpty()) {
            mHeardAt = now;
        }
        mAttempts.add(attempt);
        mPendingTokens += tokens;
        mSentSinceLoad++;
    }

    void started(int tokens) {
        mPendingTokens -= tokens;
    }

    void ended(Attempt attempt) {
        mAttempts.remove(attempt);
    }

    Set<Attempt> attempts() {
        return mAttempts;
    }

    /** Takes what the agent beside the engine says of it. */
    void noticed(EngineNotice notice, long now) {
        mNotice = Optional.of(notice);
        observed(notice.getWeightsMap(), "notice");
        mNoticeAt = now;
    }

    /** Returns what the agent said, if that is not too old. */
    Optional<EngineNotice> notice(long now) {
        return mNotice.filter(notice -> now - mNoticeAt < NOTICE_MILLISECONDS);
    }

    /** Returns whether the engine loads weights, or will as soon as its runs have ended. */
    boolean isLoading(long now) {
        return notice(now).filter(EngineNotice::getLoading).isPresent();
    }

    /** Returns whether the agent says that the engine has these weights and loads no others. */
    boolean isSteady(String model, long version, long now) {
        return notice(now).isPresent() && !isLoading(now) && observedWeights(model) == version;
    }

    /** Returns whether runs should go on elsewhere: the engine loads weights, or ends soon. */
    boolean losesRuns(long now) {
        return isLoading(now)
                || (mLeavingSince != Long.MAX_VALUE && now - mLeavingSince > LEAVING_MILLISECONDS);
    }

    private boolean isUnreachable(long now) {
        return notice(now).filter(EngineNotice::getUnreachable).isPresent();
    }

    long noticeAge(long now) {
        return now - mNoticeAt;
    }

    /** Notes the weights that an answer told of. */
    void learnedWeights(String model, long version) {
        observed(Map.of(model, version), "answer");
    }

    /** One incarnation never goes back to older weights, whatever a late message says. */
    private void observed(Map<String, Long> weights, String source) {
        weights.forEach(
                (model, version) -> {
                    mSuspectedWeights.remove(model);
                    long before = observedWeights(model);
                    if (version > before) {
                        mObservedWeights.put(model, version);
                        logWeights(model, before, version, source);
                    }
                });
    }

    /** Guesses what the server has, as it refused other weights, until it or its agent tells. */
    void suspectedWeights(String model, long version) {
        long before = weights(model);
        mSuspectedWeights.merge(model, version, Math::max);
        logWeights(model, before, weights(model), "refusal");
    }

    private void logWeights(String model, long before, long version, String source) {
        if (before != version) {
            LogLine.info("engine_weights")
                    .with("server", name())
                    .with("model", model)
                    .with("before", before)
                    .with("version", version)
                    .with("source", source)
                    .write();
        }
    }

    /**
     * Returns the version of a model's weights that a request for the server names, which may be a
     * guess: a server with another version refuses the request.
     */
    long weights(String model) {
        return Math.max(observedWeights(model), mSuspectedWeights.getOrDefault(model, 0L));
    }

    /** Returns the newest version of a model's weights that the server was seen to have. */
    long observedWeights(String model) {
        return mObservedWeights.getOrDefault(model, 0L);
    }

    void heard(long now) {
        mHeardAt = now;
    }

    /** Returns for how long the server has said nothing although requests wait for it. */
    long silentMilliseconds(long now) {
        return mAttempts.isEmpty() ? 0 : now - mHeardAt;
    }

    void loadReported(ServerLoad load) {
        mLoad = Optional.of(load);
        mSentSinceLoad = 0;
    }

    Optional<ServerLoad> load() {
        return mLoad;
    }

    int sentSinceLoad() {
        return mSentSinceLoad;
    }

    void succeeded() {
        mFailures = 0;
        mPausedUntil = 0;
        mFailureShare *= 1 - FAILURE_WEIGHT;
    }

    /** Notes an answer of failure, which says nothing about whether the server is there. */
    void answeredFailure() {
        mFailures = 0;
        mPausedUntil = 0;
        mFailureShare += FAILURE_WEIGHT * (1 - mFailureShare);
    }

    /** Notes a connection that was refused, cut or silent; pauses the server for a growing time. */
    void failed(long now) {
        mFailureShare += FAILURE_WEIGHT * (1 - mFailureShare);
        long pause =
                Math.min(
                        LONGEST_PAUSE_MILLISECONDS,
                        FIRST_PAUSE_MILLISECONDS << Math.min(mFailures, LARGEST_SHIFT));
        mFailures++;
        mPausedUntil = now + pause;
    }

    /** Notes a refusal: the server is full or busy with an order, and gets a short pause. */
    void refused(long now) {
        mPausedUntil = Math.max(mPausedUntil, now + REFUSED_PAUSE_MILLISECONDS);
    }

    /**
     * Returns whether to look for another server; one request at a time finds out if it is back.
     */
    boolean isPaused(long now) {
        boolean isProbed = mFailures > 0 && !mAttempts.isEmpty();
        return now < mPausedUntil || isProbed || isUnreachable(now);
    }

    double failureShare() {
        return mFailureShare;
    }
}
