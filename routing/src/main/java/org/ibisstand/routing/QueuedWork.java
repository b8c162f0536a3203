package org.ibisstand.routing;

/** One piece of work from its submission until its end, with what the queue predicts of it. */
final class QueuedWork {
    final Work mWork;
    final double mArrived;
    final double mDeadline;
    double mBytes;
    boolean mLong;
    int mHeldPieces;
    CacheIndex.Belief mBelief;
    int mEnginePriority;
    double mDispatched;
    double mLastToken;
    boolean mFirstTokenSeen;

    QueuedWork(Work work, double arrived, double deadline) {
        mWork = work;
        mArrived = arrived;
        mDeadline = deadline;
    }

    Question question() {
        return mWork.question();
    }

    String team() {
        return mWork.question().team();
    }
}
