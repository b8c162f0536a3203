package org.ibisstand.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** What became of one request, at engines and at its caller, in the order in which it happened. */
final class RunLog {
    private static final long PATIENCE_MILLISECONDS = 10_000;

    private final List<Step> mSteps = new ArrayList<>();

    /** What may happen to a request. */
    enum Step {
        ADMITTED,
        REFUSED,
        REFUSAL_HELD,
        NOT_STOPPED,
        EVENT,
        ENDED,
        BROKEN,
        NOT_SERVED;

        boolean isEnd() {
            return this == ENDED || this == BROKEN || this == NOT_SERVED;
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

    /** Waits until any of some steps has come after the first ones. */
    synchronized void await(int from, Set<Step> any) {
        while (mSteps.stream().skip(from).noneMatch(any::contains)) {
            awaitStep();
        }
    }

    /** Waits until the request runs somewhere, is held or has ended, and returns which. */
    synchronized Step awaitSettled() {
        Optional<Step> last = lastBesideEvents();
        while (last.filter(step -> step != Step.REFUSED).isEmpty()) {
            awaitStep();
            last = lastBesideEvents();
        }
        return last.get();
    }

    /** Returns whether nothing more can happen. */
    synchronized boolean isOver() {
        return mSteps.stream().anyMatch(Step::isEnd);
    }

    @Override
    public synchronized String toString() {
        return mSteps.toString();
    }

    private Optional<Step> lastBesideEvents() {
        return mSteps.reversed().stream().filter(step -> step != Step.EVENT).findFirst();
    }

    private void awaitStep() {
        int before = mSteps.size();
        try {
            wait(PATIENCE_MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        if (mSteps.size() == before) {
            throw new AssertionError("nothing came after " + mSteps);
        }
    }
}
