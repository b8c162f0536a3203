package org.ibisstand.base;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * A task whose unexpected failure is logged. Executors keep the failure of a scheduled task in a
 * future that nobody reads, and run a periodic task that failed never again.
 */
public final class LoggedTask implements Runnable {
    private final String mName;
    private final Runnable mTask;
    private final Consumer<LogLine> mLog;
    private long mFailures;

    private LoggedTask(String name, Runnable task, Consumer<LogLine> log) {
        mName = name;
        mTask = task;
        mLog = log;
    }

    /**
     * Returns a task that logs a failure and then returns normally; of runs that fail in a row, it
     * logs the first, second, fourth and so on.
     *
     * @param name what the task does, or the thread that it runs on
     * @param task the task; runs on one thread at a time
     */
    public static Runnable of(String name, Runnable task) {
        return of(name, task, LogLine::write);
    }

    /** Returns such a task that hands its lines to a log. */
    public static Runnable of(String name, Runnable task, Consumer<LogLine> log) {
        return task instanceof LoggedTask ? task : new LoggedTask(name, task, log);
    }

    @Override
    public void run() {
        CompletableFuture<Void> run = CompletableFuture.runAsync(mTask, Runnable::run);
        if (run.isCompletedExceptionally()) {
            failed(run.exceptionNow());
        } else {
            mFailures = 0;
        }
    }

    private void failed(Throwable failure) {
        mFailures++;
        if (Long.bitCount(mFailures) == 1) {
            mLog.accept(
                    LogLine.error("task_failed")
                            .with("task", mName)
                            .with("failures", mFailures)
                            .cause(failure));
        }
    }
}
