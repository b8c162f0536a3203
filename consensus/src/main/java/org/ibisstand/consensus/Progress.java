package org.ibisstand.consensus;

import java.time.Duration;
import java.time.Instant;

/** The replication progress of one member, as the leader knows it. */
final class Progress {
    private long mMatchIndex;
    private long mNextIndex;
    private boolean mProbing = true;
    private Instant mLastContact;
    private long mRound;
    private long mSnapshotIndex;
    private int mSnapshotOffset;
    private final CatchUp mCatchUp;

    Progress(long lastIndex, Instant now) {
        mNextIndex = lastIndex + 1;
        mLastContact = now;
        mCatchUp = new CatchUp(lastIndex, now);
    }

    /** Returns the last entry known to be durable at the member. */
    long matchIndex() {
        return mMatchIndex;
    }

    /** Returns the next entry to send. */
    long nextIndex() {
        return mNextIndex;
    }

    /** Returns whether it is still unknown where the member's log matches. */
    boolean isProbing() {
        return mProbing;
    }

    Instant lastContact() {
        return mLastContact;
    }

    /** Returns the newest round in which the member followed the leader. */
    long round() {
        return mRound;
    }

    /** Returns the index of the snapshot being sent to the member, or zero. */
    long snapshotIndex() {
        return mSnapshotIndex;
    }

    int snapshotOffset() {
        return mSnapshotOffset;
    }

    /** Returns whether the member follows the log within a time limit. */
    boolean hasCaughtUp(long commitIndex, Duration limit, Instant now) {
        return mCatchUp.isDone(mMatchIndex, commitIndex, limit, now);
    }

    void contacted(Instant now, long round) {
        mLastContact = now;
        mRound = Math.max(mRound, round);
    }

    void sent(int entries) {
        mNextIndex += entries;
    }

    void accepted(long index) {
        mMatchIndex = Math.max(mMatchIndex, index);
        mNextIndex = Math.max(mNextIndex, mMatchIndex + 1);
        mProbing = false;
        if (mMatchIndex >= mSnapshotIndex) {
            mSnapshotIndex = 0;
        }
    }

    /** Notes how far the member is behind as it has acknowledged entries. */
    void measure(long lastIndex, Instant now) {
        mCatchUp.acknowledged(mMatchIndex, lastIndex, now);
    }

    /** Moves the next entry back to where the member's log may match. */
    void refused(long tryIndex) {
        mNextIndex = Math.max(mMatchIndex, Math.min(mNextIndex - 1, tryIndex)) + 1;
        mProbing = true;
    }

    void startSnapshot(long index) {
        mSnapshotIndex = index;
        mSnapshotOffset = 0;
    }

    void snapshotReceived(int nextOffset) {
        mSnapshotOffset = nextOffset;
    }
}
