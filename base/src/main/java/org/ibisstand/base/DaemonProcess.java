package org.ibisstand.base;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/**
 * Runs a daemon until a signal stops it.
 *
 * <p>Signals are handled directly, since a shutdown hook never learns of a second one.
 */
public final class DaemonProcess {
    private static final int SIGNAL_EXIT_BASE = 128;

    private final CountDownLatch mStop = new CountDownLatch(1);
    private Optional<Runnable> mReload = Optional.empty();
    private boolean mReloadPending;

    private DaemonProcess() {}

    /**
     * Runs a daemon that an operator started, and returns when it has stopped. The first SIGTERM or
     * SIGINT starts a graceful stop, the second ends the process at once.
     *
     * @param daemon started already; stopped gracefully if it can be, then closed
     * @throws Exception if the daemon cannot be closed
     */
    public static void run(AutoCloseable daemon) throws Exception {
        DaemonProcess process = new DaemonProcess();
        Signal.handle(new Signal("TERM"), process::stopOrEnd);
        Signal.handle(new Signal("INT"), process::stopOrEnd);
        process.await(daemon);
    }

    /**
     * Takes the signals of a supervisor from now on. To be called before the daemon starts, as a
     * signal that nobody takes ends the process at once, with all that it has begun to serve.
     */
    public static DaemonProcess supervised() {
        DaemonProcess process = new DaemonProcess();
        Signal.handle(new Signal("TERM"), signal -> process.mStop.countDown());
        Signal.handle(new Signal("HUP"), signal -> process.reload());
        return process;
    }

    /** Returns whether a signal to stop has come. */
    public boolean isStopping() {
        return mStop.getCount() == 0;
    }

    /**
     * Runs a daemon below a supervisor, and returns when it has stopped. SIGTERM starts a graceful
     * stop however often it comes, as the supervisor ends the process by force if it must; SIGHUP
     * asks for the settings to be read again. Signals that came during the start count.
     *
     * @param daemon started already; stopped gracefully, then closed
     * @param reload reads the settings again; runs on the thread of the signal, or on this one
     * @throws Exception if the daemon cannot be closed
     */
    public void runSupervised(Daemon daemon, Runnable reload) throws Exception {
        boolean isReloadPending;
        synchronized (this) {
            mReload = Optional.of(reload);
            isReloadPending = mReloadPending;
        }
        if (isReloadPending) {
            reload.run();
        }
        await(daemon);
    }

    private void reload() {
        Optional<Runnable> reload;
        synchronized (this) {
            reload = mReload;
            mReloadPending = reload.isEmpty();
        }
        reload.ifPresent(Runnable::run);
    }

    private void await(AutoCloseable daemon) throws Exception {
        mStop.await();
        long stopsSince = System.nanoTime();
        LogLine.info("stopping").write();
        if (daemon instanceof Daemon graceful) {
            stop(graceful);
        }
        daemon.close();
        LogLine.info("stopped")
                .with("after_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopsSince))
                .write();
    }

    /** A stop that fails is logged, so that the daemon is closed all the same. */
    private static void stop(Daemon daemon) {
        try {
            daemon.stop().join();
        } catch (RuntimeException e) {
            LogLine.error("stop_failed").cause(e).write();
        }
    }

    private synchronized void stopOrEnd(Signal signal) {
        if (mStop.getCount() == 0) {
            Runtime.getRuntime().halt(SIGNAL_EXIT_BASE + signal.getNumber());
        }
        mStop.countDown();
    }
}
