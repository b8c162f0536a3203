package org.ibisstand.settings;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.LoggedTask;

/** Watches a settings file, which may change with a signal or without a word. */
public final class SettingsWatch implements AutoCloseable {
    /** Between looks at the file; a read of a small file costs a few microseconds. */
    private static final long INTERVAL_SECONDS = 1;

    private final Path mFile;
    private final Consumer<byte[]> mListener;
    private final ScheduledExecutorService mTimer;
    private byte[] mContent;

    private SettingsWatch(Path file, byte[] content, Consumer<byte[]> listener) {
        mFile = file;
        mContent = content.clone();
        mListener = listener;
        mTimer = Executors.newSingleThreadScheduledExecutor(SettingsWatch::thread);
    }

    /**
     * Starts to watch.
     *
     * @param file the settings file
     * @param content what the process has read from it
     * @param listener takes changed content; an IbisstandException that it throws is logged, and
     *     the content counts as not taken
     */
    public static SettingsWatch start(Path file, byte[] content, Consumer<byte[]> listener) {
        SettingsWatch watch = create(file, content, listener);
        watch.mTimer.scheduleWithFixedDelay(
                LoggedTask.of("check_settings", watch::look),
                INTERVAL_SECONDS,
                INTERVAL_SECONDS,
                TimeUnit.SECONDS);
        return watch;
    }

    /** Returns a watch without a timer. */
    static SettingsWatch create(Path file, byte[] content, Consumer<byte[]> listener) {
        return new SettingsWatch(file, content, listener);
    }

    /** Looks at the file now, on the watch's own thread. */
    public void check() {
        mTimer.execute(LoggedTask.of("check_settings", this::look));
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }

    /** Takes the content if it changed; for one thread. */
    void look() {
        try {
            byte[] content = SettingsReader.readFile(mFile);
            if (!Arrays.equals(content, mContent)) {
                mListener.accept(content);
                mContent = content;
                LogLine.info("settings_reloaded").with("bytes", content.length).write();
            }
        } catch (IbisstandException e) {
            LogLine.warning("settings_not_reloaded").code(e.code()).cause(e).write();
        }
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "settings-watch");
        thread.setDaemon(true);
        return thread;
    }
}
