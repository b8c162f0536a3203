package org.ibisstand.faults;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.fakes.FakeAnswer;
import org.ibisstand.faults.LocalSystem.Answer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Takes over a minute, so that bin/fault-matrix runs it and bin/verify does not. */
@Tag("processes")
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RealProcessesTest {
    private static final long RUN_MILLISECONDS = 1_500;
    private static final long FREEZE_MILLISECONDS = 3_000;
    private static final int TOKENS = 50;
    private static final String COMPLETED = "completed";
    private static final String MAY_HAVE_RUN = "may-have-run";

    private LocalSystem mSystem;

    @BeforeAll
    void start(@TempDir(cleanup = CleanupMode.ON_SUCCESS) Path folder) {
        mSystem = new LocalSystem(folder);
        mSystem.start();
        mSystem.delayService(RUN_MILLISECONDS);
    }

    @AfterAll
    void stop() {
        mSystem.stop();
    }

    private CompletableFuture<Answer> orderThatRuns(String key) {
        CompletableFuture<Answer> first = mSystem.order(1, key);
        LocalSystem.await("the execution of " + key, () -> mSystem.executions(key) > 0);
        return first;
    }

    /** Resends through the other entry until the order has run or may have run. */
    private String resend(String key) {
        String[] verdict = {""};
        LocalSystem.await(
                "a verdict on " + key,
                () -> {
                    verdict[0] = mSystem.order(2, key).join().verdict();
                    return verdict[0].equals(COMPLETED) || verdict[0].equals(MAY_HAVE_RUN);
                });
        return verdict[0];
    }

    @Test
    void anOrderWhoseEntryIsKilledAfterItRanIsAnsweredToItsResend() {
        orderThatRuns("entry-killed");
        mSystem.process("entry-1").restart();
        assertThat(resend("entry-killed")).isEqualTo(COMPLETED);
        assertThat(mSystem.executions("entry-killed")).isEqualTo(1);
        LocalSystem.await("entry-1", () -> mSystem.order(1, "ready").join().status() == 200);
    }

    @Test
    void anOrderWhoseAgentIsKilledAfterItRanIsNotRunAgain() {
        orderThatRuns("agent-killed");
        mSystem.process("agent-2").restart();
        assertThat(resend("agent-killed")).isEqualTo(MAY_HAVE_RUN);
        assertThat(mSystem.executions("agent-killed")).isEqualTo(1);
        LocalSystem.await("agent-2", () -> mSystem.order(1, "again").join().status() == 200);
    }

    @Test
    void anOrderCompletesWhenTheLeaderOfControlIsKilledAfterItRan() {
        CompletableFuture<Answer> first = orderThatRuns("leader-killed");
        mSystem.leader().restart();
        assertThat(first.join().verdict()).isEqualTo(COMPLETED);
        assertThat(resend("leader-killed")).isEqualTo(COMPLETED);
        assertThat(mSystem.executions("leader-killed")).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"entry-1", "agent-2", "control-1", "service"})
    void anOrderRunsOnceWhenAProcessIsFrozenAfterItRan(String victim) {
        String key = "frozen-" + victim;
        orderThatRuns(key);
        mSystem.process(victim).freeze();
        CompletableFuture<Answer> second = mSystem.order(2, key);
        LocalSystem.pause(FREEZE_MILLISECONDS);
        mSystem.process(victim).thaw();
        second.join();
        assertThat(resend(key)).isAnyOf(COMPLETED, MAY_HAVE_RUN);
        assertThat(mSystem.executions(key)).isEqualTo(1);
    }

    private static StreamCheck.Result check(Answer answer, String prompt) {
        return StreamCheck.check(answer.body(), FakeAnswer.text(prompt, "contracts", "1", TOKENS));
    }

    private CompletableFuture<Answer> streamThatRuns(String prompt) {
        CompletableFuture<Answer> answer = mSystem.stream(1, prompt, TOKENS);
        LocalSystem.await("the engine to run", () -> mSystem.running() > 0);
        LocalSystem.pause(RUN_MILLISECONDS / 3);
        return answer;
    }

    private void streamsAgain(String prompt) {
        LocalSystem.await(
                "a whole answer to " + prompt,
                () ->
                        check(mSystem.stream(2, prompt, TOKENS).join(), prompt)
                                == StreamCheck.Result.WHOLE);
    }

    @ParameterizedTest
    @ValueSource(strings = {"entry-1", "agent-1", "engine"})
    void aStreamCutByAKilledProcessIsNotTakenForAWholeOne(String victim) {
        String prompt = "contract under " + victim;
        CompletableFuture<Answer> first = streamThatRuns(prompt);
        mSystem.process(victim).restart();
        assertThat(check(first.join(), prompt)).isEqualTo(StreamCheck.Result.VISIBLY_FAILED);
        streamsAgain(prompt);
        LocalSystem.await(
                "entry-1", () -> mSystem.stream(1, prompt, TOKENS).join().status() == 200);
    }

    @ParameterizedTest
    @ValueSource(strings = {"entry-1", "agent-1", "engine", "control-1"})
    void aStreamIsWholeOrVisiblyFailedWhenAProcessIsFrozen(String victim) {
        String prompt = "contract frozen at " + victim;
        CompletableFuture<Answer> first = streamThatRuns(prompt);
        mSystem.process(victim).freeze();
        LocalSystem.pause(FREEZE_MILLISECONDS);
        mSystem.process(victim).thaw();
        assertThat(check(first.join(), prompt))
                .isAnyOf(StreamCheck.Result.WHOLE, StreamCheck.Result.VISIBLY_FAILED);
        streamsAgain(prompt);
    }

    @Test
    void aStreamIsWholeWhenItsEntryStopsWhileTheLeaderOfControlIsKilled() {
        String prompt = "contract while stopping";
        CompletableFuture<Answer> first = streamThatRuns(prompt);
        mSystem.leader().restart();
        assertThat(mSystem.process("entry-1").stop()).isEqualTo(0);
        assertThat(check(first.join(), prompt)).isEqualTo(StreamCheck.Result.WHOLE);
        mSystem.process("entry-1").start();
        LocalSystem.await(
                "entry-1", () -> mSystem.stream(1, prompt, TOKENS).join().status() == 200);
    }
}
