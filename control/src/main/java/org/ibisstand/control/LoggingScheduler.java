package org.ibisstand.control;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.LoggedTask;

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
        super.execute(logged(task));
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        return super.schedule(logged(task), delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable task, long initialDelay, long delay, TimeUnit unit) {
        return super.scheduleWithFixedDelay(logged(task), initialDelay, delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable task, long initialDelay, long period, TimeUnit unit) {
        return super.scheduleAtFixedRate(logged(task), initialDelay, period, unit);
    }

    private Runnable logged(Runnable task) {
        return LoggedTask.of(mName, task, mLog);
    }
}
