package org.ibisstand.base;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Guards against signals during the start, which ended a process that served requests already. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class DaemonProcessTest {
    private static final Signal STOP = new Signal("TERM");
    private static final Signal RELOAD = new Signal("HUP");

    private final List<String> mCalls = new ArrayList<>();
    private final DaemonProcess mProcess = DaemonProcess.supervised();

    @AfterEach
    void restoreSignals() {
        Signal.handle(STOP, SignalHandler.SIG_DFL);
        Signal.handle(RELOAD, SignalHandler.SIG_DFL);
    }

    @Test
    void aStopSignalDuringTheStartStopsTheDaemonGracefully() throws Exception {
        Signal.raise(STOP);

        mProcess.runSupervised(new RecordingDaemon(), () -> {});

        assertThat(mProcess.isStopping()).isTrue();
        assertThat(mCalls).containsExactly("stop", "close").inOrder();
    }

    @Test
    void aReloadSignalDuringTheStartReloadsOnceTheDaemonRuns() throws Exception {
        Signal.raise(RELOAD);

        mProcess.runSupervised(
                new RecordingDaemon(),
                () -> {
                    mCalls.add("reload");
                    Signal.raise(STOP);
                });

        assertThat(mCalls).containsExactly("reload", "stop", "close").inOrder();
    }

    /** How the stop of a daemon fails. */
    enum StopFailure {
        AT_ONCE {
            @Override
            CompletableFuture<Void> stop() {
                throw new IllegalStateException("unexpected");
            }
        },
        LATER {
            @Override
            CompletableFuture<Void> stop() {
                return CompletableFuture.failedFuture(new IllegalStateException("unexpected"));
            }
        };

        abstract CompletableFuture<Void> stop();
    }

    @ParameterizedTest
    @EnumSource
    void aDaemonIsClosedAfterItsStopFailed(StopFailure failure) throws Exception {
        Signal.raise(STOP);

        mProcess.runSupervised(new RecordingDaemon(failure::stop), () -> {});

        assertThat(mCalls).containsExactly("stop", "close").inOrder();
    }

    /** Records the calls to it. */
    private final class RecordingDaemon implements Daemon {
        private final Supplier<CompletableFuture<Void>> mStop;

        RecordingDaemon() {
            this(() -> CompletableFuture.completedFuture(null));
        }

        RecordingDaemon(Supplier<CompletableFuture<Void>> stop) {
            mStop = stop;
        }

        @Override
        public CompletableFuture<Void> stop() {
            mCalls.add("stop");
            return mStop.get();
        }

        @Override
        public void close() {
            mCalls.add("close");
        }
    }
}
