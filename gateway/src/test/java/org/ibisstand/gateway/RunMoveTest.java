package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.ibisstand.gateway.EngineGatewayTest.pause;
import static org.ibisstand.gateway.MovableRunEngine.STREAM_HEAD;
import static org.ibisstand.gateway.ScriptedServer.write;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibisstand.gateway.RunMoveHarness.TargetChange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against streams of runs that may run only once and that a gateway ends by moving them. */
class RunMoveTest {
    private static final String COMPLETE_STREAM =
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    private static final String UNDELIMITED_HEAD =
            STREAM_HEAD.replace("Transfer-Encoding: chunked\r\n", "");

    /** Longer than a gateway waits for anything of a move. */
    private static final int SILENCE_MILLISECONDS = 12_000;

    private final RunMoveHarness mHarness = new RunMoveHarness();
    private StoppableRunEngine mEngine = new StoppableRunEngine();

    @AfterEach
    void close() {
        mHarness.close();
    }

    /** Responses to the call that stops a run, by which the gateway lost the stream. */
    enum StopResponse {
        NONE {
            @Override
            void write(Socket connection) {
                pause(SILENCE_MILLISECONDS);
            }
        },
        CONNECTION_CLOSED {
            @Override
            void write(Socket connection) throws IOException {
                connection.close();
            }
        },
        CONNECTION_RESET {
            @Override
            void write(Socket connection) throws IOException {
                connection.setSoLinger(true, 0);
                connection.close();
            }
        },
        MALFORMED {
            @Override
            void write(Socket connection) throws IOException {
                ScriptedServer.write(connection, "nonsense\r\n\r\n");
            }
        },
        TRUNCATED {
            @Override
            void write(Socket connection) throws IOException {
                ScriptedServer.write(connection, "HTTP/1.1 200 X\r\nContent-Length: 6\r\n\r\nha");
                connection.close();
            }
        },
        WITHOUT_HANDLE {
            @Override
            void write(Socket connection) throws IOException {
                ScriptedServer.write(connection, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
            }
        },
        OVERLONG {
            @Override
            void write(Socket connection) throws IOException {
                ScriptedServer.write(connection, "HTTP/1.1 200 X\r\n\r\n" + "x".repeat(20_000));
            }
        };

        abstract void write(Socket connection) throws IOException;
    }

    @ParameterizedTest
    @EnumSource(StopResponse.class)
    void aRunWhoseStopIsNotAnsweredResumesFromItsCopy(StopResponse response) throws Exception {
        startEngines(
                new StoppableRunEngine() {
                    @Override
                    void stopRun(Socket connection) throws IOException {
                        cutStream();
                        response.write(connection);
                    }
                });

        assertThat(mHarness.readStream()).isEqualTo(COMPLETE_STREAM);
        assertThat(mEngine.resumed()).isEqualTo(1);
    }

    /** The stream closes as the engine stops the run, before its response or together with it. */
    @ParameterizedTest
    @CsvSource({"700, 0", "700, 700", "2000, 2000", "3000, 0", "3000, 3000", "5000, 3700"})
    void aRunWhoseStopIsAnsweredLateResumes(int responseMilliseconds, int streamEndMilliseconds)
            throws Exception {
        startEngines(
                new StoppableRunEngine() {
                    @Override
                    void stopRun(Socket connection) throws IOException {
                        pause(streamEndMilliseconds);
                        cutStream();
                        pause(responseMilliseconds - streamEndMilliseconds);
                        write(connection, "HTTP/1.1 200 X\r\nContent-Length: 6\r\n\r\nhandle");
                    }
                });

        assertThat(mHarness.readStream()).isEqualTo(COMPLETE_STREAM);
        assertThat(mEngine.resumed()).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 1_500})
    void aRunWhoseStreamEndsLongAfterTheResponseToItsStopResumes(int milliseconds)
            throws Exception {
        startEngines(
                new StoppableRunEngine() {
                    @Override
                    void stopRun(Socket connection) throws IOException {
                        write(connection, "HTTP/1.1 200 X\r\nContent-Length: 6\r\n\r\nhandle");
                        pause(milliseconds);
                        cutStream();
                    }
                });

        assertThat(mHarness.readStream()).isEqualTo(COMPLETE_STREAM);
        assertThat(mEngine.resumed()).isEqualTo(1);
    }

    /** The target and the source were each asked once, and both were full for a moment. */
    @ParameterizedTest
    @CsvSource({"200, 2", "200, 3", "503, 2", "503, 4"})
    void aRunThatIsRefusedForAMomentResumes(int stopStatus, int refusals) throws Exception {
        AtomicInteger refused = new AtomicInteger();
        startEngines(
                new StoppableRunEngine() {
                    @Override
                    int stopStatus() {
                        return stopStatus;
                    }

                    @Override
                    boolean refusesResumption() {
                        return refused.incrementAndGet() <= refusals;
                    }
                });

        assertThat(mHarness.readStream()).isEqualTo(COMPLETE_STREAM);
        assertThat(mEngine.resumed()).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(TargetChange.class)
    void aRunWhoseTargetIsGoneBeforeTheStopGoesOn(TargetChange change) throws Exception {
        startEngines(
                new StoppableRunEngine() {
                    @Override
                    void copyRun(Socket connection) throws IOException {
                        mHarness.change(change);
                        super.copyRun(connection);
                        endStream();
                    }
                });

        assertThat(mHarness.readStream()).isEqualTo(COMPLETE_STREAM);
        assertThat(mHarness.requests("POST /move/")).isEmpty();
        assertThat(mEngine.resumed()).isEqualTo(0);
    }

    /** The weights of a run's KV cache were compared only once the run had been stopped. */
    @Test
    void aRunThatContinuesUnderOtherWeightsIsNotStopped() throws Exception {
        startEngines(
                new StoppableRunEngine() {
                    @Override
                    void copyRun(Socket connection) throws IOException {
                        mHarness.sendNotices(2, false);
                        super.copyRun(connection);
                        endStream();
                    }
                });

        assertThat(mHarness.readStream()).isEqualTo(COMPLETE_STREAM);
        assertThat(mHarness.requests("POST /move/")).isEmpty();
    }

    @Test
    void theCopyOfARunThatIsNotStoppedIsFreed() throws Exception {
        CountDownLatch freed = new CountDownLatch(1);
        startEngines(
                new StoppableRunEngine() {
                    @Override
                    void copyRun(Socket connection) throws IOException {
                        mHarness.change(TargetChange.LEAVES);
                        super.copyRun(connection);
                    }

                    @Override
                    void freeCopy(String handle) {
                        assertThat(handle).isEqualTo("copy");
                        freed.countDown();
                        endStream();
                    }
                });

        assertThat(mHarness.readStream()).isEqualTo(COMPLETE_STREAM);
        assertThat(freed.getCount()).isEqualTo(0);
    }

    /** A run that was not stopped may end like any other, also without a length or chunks. */
    @ParameterizedTest
    @ValueSource(strings = {"POST /copy/", "POST /move/"})
    void anUndelimitedStreamWhoseMoveWasRefusedIsComplete(String refusedCall) throws Exception {
        startEngines(
                new StoppableRunEngine() {
                    @Override
                    String streamHead() {
                        return UNDELIMITED_HEAD;
                    }

                    @Override
                    void call(String request, Socket connection) throws IOException {
                        if (request.startsWith(refusedCall)) {
                            write(connection, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
                            pause(100);
                            endStream();
                        } else {
                            super.call(request, connection);
                        }
                    }
                });

        assertThat(mHarness.readStream()).isEqualTo(COMPLETE_STREAM);
    }

    /** The gateway stops one and a half seconds after it was told to. */
    @Test
    void noMoveBeginsShortlyBeforeTheGatewayStops() throws Exception {
        startEngines(
                new StoppableRunEngine() {
                    @Override
                    void beforeSecondEvent() {
                        mHarness.drain();
                        pause(700);
                        endStream();
                    }
                });

        assertThat(mHarness.readStream()).isEqualTo(COMPLETE_STREAM);
        assertThat(mHarness.requests("POST /copy/")).isEmpty();
        assertThat(mHarness.requests("POST /move/")).isEmpty();
    }

    /** A first move without a target ended the moves of the run for good. */
    @Test
    void aRunMovesOnceAnotherEngineHasRoom() throws Exception {
        startEngines(
                new StoppableRunEngine() {
                    @Override
                    void beforeSecondEvent() throws IOException {
                        mHarness.sendNotices(1, true);
                        write(streamConnection(), streamChunk(": wait\n\n"));
                        pause(200);
                        mHarness.sendNotices(1, false);
                    }
                });

        assertThat(mHarness.readStream().replace(": wait\n\n", "")).isEqualTo(COMPLETE_STREAM);
        assertThat(mEngine.resumed()).isEqualTo(1);
    }

    /**
     * The engine that stopped the run is no longer listed, or its address belongs to another one,
     * and the target is full for a moment.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRunWhoseSourceIsGoneWaitsForItsTarget(boolean isListedAnew) throws Exception {
        AtomicInteger refused = new AtomicInteger();
        startEngines(
                new StoppableRunEngine() {
                    @Override
                    void stopRun(Socket connection) throws IOException {
                        mHarness.listWithoutSource(isListedAnew);
                        super.stopRun(connection);
                    }

                    @Override
                    boolean refusesResumption() {
                        return refused.incrementAndGet() <= 3;
                    }
                });

        assertThat(mHarness.readStream()).isEqualTo(COMPLETE_STREAM);
        assertThat(mEngine.resumed()).isEqualTo(1);
    }

    private void startEngines(StoppableRunEngine engine) {
        mEngine = engine;
        mHarness.start(engine);
    }
}
