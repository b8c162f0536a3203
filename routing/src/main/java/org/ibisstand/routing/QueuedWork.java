package org.ibisstand.routing;

/** One piece of work from its submission until its end, with what the queue predicts of it. */
final class QueuedWork {
    final WorkItem mWork;
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

    QueuedWork(WorkItem work, double arrived, double deadline) {
        mWork = work;
        mArrived = arrived;
        mDeadline = deadline;
    }

    RequestProfile question() {
        return mWork.profile();
    }

    String team() {
        return mWork.profile().team();
    }
}
