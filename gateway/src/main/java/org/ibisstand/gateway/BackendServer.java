package org.ibisstand.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.ibisstand.settings.Address;
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

    private static final int LARGEST_SHIFT = 10;

    /** The weight of one answer in the share of failures: about the last twenty answers count. */
    private static final double FAILURE_WEIGHT = 0.05;

    private final Address mAddress;
    private final Deque<BackendConnection> mIdle = new ArrayDeque<>();
    private ServerRecord mRecord;
    private int mConnections;
    private int mInFlight;
    private long mPendingTokens;
    private int mFailures;
    private long mPausedUntil;
    private double mFailureShare;
    private Optional<ServerLoad> mLoad = Optional.empty();
    private int mSentSinceLoad;
    private long mHeardAt;
    private boolean mRemoved;

    BackendServer(ServerRecord record) {
        mRecord = record;
        mAddress = Address.parse(record.getAddress());
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

    void renew(ServerRecord record) {
        mRecord = record;
    }

    boolean takesRequests() {
        return !mRemoved && mRecord.getState() == ServerRecord.State.READY;
    }

    /** Closes idle connections; requests in progress go on. */
    void remove() {
        mRemoved = true;
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

    int connections() {
        return mConnections;
    }

    void connectionOpened() {
        mConnections++;
    }

    void connectionClosed() {
        mConnections--;
    }

    int inFlight() {
        return mInFlight;
    }

    /** Returns the prompt tokens of requests that were sent and have no first event yet. */
    long pendingTokens() {
        return mPendingTokens;
    }

    void sent(int tokens, long now) {
        if (mInFlight == 0) {
            mHeardAt = now;
        }
        mInFlight++;
        mPendingTokens += tokens;
        mSentSinceLoad++;
    }

    void started(int tokens) {
        mPendingTokens -= tokens;
    }

    void ended() {
        mInFlight--;
    }

    void heard(long now) {
        mHeardAt = now;
    }

    /** Returns for how long the server has said nothing although requests wait for it. */
    long silentMilliseconds(long now) {
        return mInFlight == 0 ? 0 : now - mHeardAt;
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

    boolean isPaused(long now) {
        return now < mPausedUntil;
    }

    double failureShare() {
        return mFailureShare;
    }
}
