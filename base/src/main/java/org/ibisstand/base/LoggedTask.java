package org.ibisstand.base;

/**
 * A task whose unexpected failure is logged. Executors keep the failure of a scheduled task in a
 * future that nobody reads, and run a periodic task that failed never again.
 */
public final class LoggedTask implements Runnable {
    private final String mName;
    private final Runnable mTask;

    private LoggedTask(String name, Runnable task) {
        mName = name;
        mTask = task;
    }

    /**
     * Returns a task that logs a failure and then returns normally.
     *
     * @param name what the task does, in snake case
     * @param task the task
     */
    public static Runnable of(String name, Runnable task) {
        return new LoggedTask(name, task);
    }

    @Override
    public void run() {
        try {
            mTask.run();
        } catch (RuntimeException e) {
            LogLine.error("task_failed").with("task", mName).cause(e).write();
        }
    }
}
