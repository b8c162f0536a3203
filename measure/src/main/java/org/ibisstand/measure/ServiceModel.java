package org.ibisstand.measure;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ibisstand.base.PrefixChain;

/** A small stand-in for a plain service: first come, first served by a few workers. */
final class ServiceModel implements Backend {
    /** The most calls that are worked on at once. */
    static final int WORKERS = 8;

    private record Call(long identifier, double milliseconds, Listener listener) {}

    private final Simulation mSimulation;
    private final Map<Long, Call> mWaiting = new LinkedHashMap<>();
    private final Map<Long, Call> mRunning = new LinkedHashMap<>();
    private double mSlowness = 1;

    ServiceModel(Simulation simulation) {
        mSimulation = simulation;
    }

    /** Starts a call that takes as many milliseconds as it has tokens. */
    @Override
    public void submit(
            long identifier, PrefixChain chain, int priority, int tokens, Listener listener) {
        mWaiting.put(identifier, new Call(identifier, tokens, listener));
        startNext();
    }

    @Override
    public void cancel(long identifier) {
        mWaiting.remove(identifier);
        if (mRunning.remove(identifier) != null) {
            startNext();
        }
    }

    @Override
    public void slowDown(double factor) {
        mSlowness = factor;
    }

    @Override
    public double slowness() {
        return mSlowness;
    }

    private void startNext() {
        while (mRunning.size() < WORKERS && !mWaiting.isEmpty()) {
            Call call = mWaiting.remove(mWaiting.keySet().iterator().next());
            mRunning.put(call.identifier(), call);
            mSimulation.after(call.milliseconds() * mSlowness, () -> finish(call));
        }
    }

    private void finish(Call call) {
        if (mRunning.remove(call.identifier(), call)) {
            call.listener().onFirstToken();
            call.listener().onFinished(0);
            startNext();
        }
    }
}
