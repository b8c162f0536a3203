package org.ibisstand.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ibisstand.base.LogLine;

/**
 * Runs tasks on one thread. Logs an exception that escapes a task; a repeated task goes on with its
 * next run, where a plain executor would end it without a word.
 */
final class LoggingScheduler extends ScheduledThreadPoolExecutor {
    private final String mName;
    private final Consumer<LogLine> mLog;

    LoggingScheduler(String name, Consumer<LogLine> log) {
        super(1, task -> new Thread(task, name));
        mName = name;
        mLog = log;
    }

    @Override
    public void execute(Runnable task) {
        super.execute(new LoggedTask(task));
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        Runnable logged = task instanceof LoggedTask ? task : new LoggedTask(task);
        return super.schedule(logged, delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable task, long initialDelay, long delay, TimeUnit unit) {
        return super.scheduleWithFixedDelay(new LoggedTask(task), initialDelay, delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable task, long initialDelay, long period, TimeUnit unit) {
        return super.scheduleAtFixedRate(new LoggedTask(task), initialDelay, period, unit);
    }

    /** A task whose failures are logged; of runs that fail in a row, fewer and fewer are. */
    private final class LoggedTask implements Runnable {
        private final Runnable mTask;
        private long mFailures;

        LoggedTask(Runnable task) {
            mTask = task;
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
                                .with("thread", mName)
                                .with("failures", mFailures)
                                .cause(failure));
            }
        }
    }
}
