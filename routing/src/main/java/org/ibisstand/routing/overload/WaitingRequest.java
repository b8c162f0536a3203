package org.ibisstand.routing.overload;

/** A request in the queue. */
final class WaitingRequest {
    /** Waiting for this part of the objective raises the priority by one level. */
    private static final long AGEING_DIVISOR = 4;

    private final OverloadRequest mRequest;
    private final long mSinceMilliseconds;
    private EngineForecast mForecast;

    WaitingRequest(OverloadRequest request, EngineForecast forecast, long now) {
        mRequest = request;
        mForecast = forecast;
        mSinceMilliseconds = now;
    }

    OverloadRequest request() {
        return mRequest;
    }

    long sinceMilliseconds() {
        return mSinceMilliseconds;
    }

    /** Returns the last known forecast, which may be out of date. */
    EngineForecast forecast() {
        return mForecast;
    }

    void setForecast(EngineForecast forecast) {
        mForecast = forecast;
    }

    /** Returns the priority, raised by the time in the queue, so that no request starves. */
    int level(long now) {
        long step = Math.max(1, mRequest.objectiveMilliseconds() / AGEING_DIVISOR);
        long raised = (now - mSinceMilliseconds) / step;
        return (int) Math.max(0, mRequest.priority() - raised);
    }

    boolean isTooLate(long now) {
        return mForecast.predictedMilliseconds() > mRequest.deadlineAtMilliseconds() - now;
    }
}
