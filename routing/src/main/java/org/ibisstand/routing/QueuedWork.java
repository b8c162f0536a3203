package org.ibisstand.routing;

/** The state of a work item from submission to completion, with the queue's predictions. */
final class QueuedWork {
    final WorkItem mWork;
    final double mArrivalMilliseconds;
    final double mDeadlineMilliseconds;
    double mUncachedBytes;
    boolean mIsLong;
    int mCachedPieces;
    CacheIndex.Prediction mCachePrediction;
    int mEnginePriority;
    double mDispatchMilliseconds;
    double mLastTokenMilliseconds;
    boolean mHasFirstToken;

    QueuedWork(WorkItem work, double arrivalMilliseconds, double deadlineMilliseconds) {
        mWork = work;
        mArrivalMilliseconds = arrivalMilliseconds;
        mDeadlineMilliseconds = deadlineMilliseconds;
    }

    RequestProfile profile() {
        return mWork.profile();
    }

    String team() {
        return mWork.profile().team();
    }
}
