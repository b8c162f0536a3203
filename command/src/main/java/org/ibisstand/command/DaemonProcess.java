package org.ibisstand.command;

import java.util.concurrent.CountDownLatch;
import org.ibisstand.base.Daemon;
import org.ibisstand.base.LogLine;
import sun.misc.Signal;

/**
 * Runs a daemon until a signal stops it.
 *
 * <p>The first SIGTERM or SIGINT starts a graceful stop, the second ends the process at once.
 * Signals are handled directly, since a shutdown hook never learns of a second one.
 */
final class DaemonProcess {
    private static final int SIGNAL_EXIT_BASE = 128;

    private final CountDownLatch mStop = new CountDownLatch(1);

    private DaemonProcess() {}

    /**
     * Runs a daemon and returns when it has stopped.
     *
     * @param daemon started already; stopped gracefully if it can be, then closed
     */
    static void run(AutoCloseable daemon) throws Exception {
        DaemonProcess process = new DaemonProcess();
        Signal.handle(new Signal("TERM"), process::receive);
        Signal.handle(new Signal("INT"), process::receive);
        process.mStop.await();
        LogLine.info("stopping").write();
        if (daemon instanceof Daemon graceful) {
            graceful.stop().join();
        }
        daemon.close();
        LogLine.info("stopped").write();
    }

    private synchronized void receive(Signal signal) {
        if (mStop.getCount() == 0) {
            Runtime.getRuntime().halt(SIGNAL_EXIT_BASE + signal.getNumber());
        }
        mStop.countDown();
    }
}
