package org.ibisstand.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** The steps of one request, at engines and at its caller, in the order in which they happened. */
final class RequestTimeline {
    private static final long STEP_TIMEOUT_MILLISECONDS = 10_000;

    private final List<Step> mSteps = new ArrayList<>();

    /** Steps of a request; the last three end it: a complete, a truncated or no stream. */
    enum Step {
        ADMITTED,
        REFUSED,
        REFUSAL_DELAYED,
        RESET,
        NOT_STOPPED,
        EVENT,
        COMPLETED,
        TRUNCATED,
        FAILED;

        boolean isFinal() {
            return this == COMPLETED || this == TRUNCATED || this == FAILED;
        }
    }

    synchronized void add(Step step) {
        mSteps.add(step);
        notifyAll();
    }

    synchronized int size() {
        return mSteps.size();
    }

    synchronized boolean contains(Step step) {
        return mSteps.contains(step);
    }

    /** Waits until any of the expected steps follows the skipped ones. */
    synchronized void awaitAny(int skippedSteps, Set<Step> expected) {
        while (mSteps.stream().skip(skippedSteps).noneMatch(expected::contains)) {
            awaitStep();
        }
    }

    /**
     * Waits until the request runs, its refusal is delayed or it has ended, and returns the last
     * step beside events.
     */
    synchronized Step awaitSettled() {
        Optional<Step> last = lastStepExceptEvents();
        while (last.filter(step -> step != Step.REFUSED && step != Step.RESET).isEmpty()) {
            awaitStep();
            last = lastStepExceptEvents();
        }
        return last.get();
    }

    /** Returns whether the request has ended. */
    synchronized boolean isFinished() {
        return mSteps.stream().anyMatch(Step::isFinal);
    }

    @Override
    public synchronized String toString() {
        return mSteps.toString();
    }

    private Optional<Step> lastStepExceptEvents() {
        return mSteps.reversed().stream().filter(step -> step != Step.EVENT).findFirst();
    }

    private void awaitStep() {
        int previousSteps = mSteps.size();
        try {
            wait(STEP_TIMEOUT_MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        if (mSteps.size() == previousSteps) {
            throw new AssertionError("timed out waiting for a step after " + mSteps);
        }
    }
}
