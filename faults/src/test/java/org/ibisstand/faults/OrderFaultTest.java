package org.ibisstand.faults;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.ibisstand.fakes.FakeServiceFaults;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Sends one order, strikes at one step of its way, resends it through another entry until it has a
 * final answer, and checks that it ran at most once and that every answer was true.
 */
class OrderFaultTest {
    private static final String KEY = "order-1";
    private static final int DEADLINE_MILLISECONDS = 1_500;
    private static final int SLOW_ANSWER_MILLISECONDS = 400;
    private static final List<String> FINAL_CODES =
            List.of("OUTCOME_UNKNOWN", "BOOT_MISMATCH", "BACKEND_FAILED");

    /** Where on its way the order is struck. */
    enum Struck {
        BEFORE_CLAIM,
        AFTER_CLAIM,
        AFTER_RUN,
        AFTER_ANSWER,
        AFTER_RECORD
    }

    /** What strikes. */
    enum Blow {
        AGENT_KILLED,
        ENTRY_KILLED,
        AGENT_CUT,
        REQUESTS_LOST,
        ANSWERS_LOST,
        AGENT_SILENT,
        CONTROL_CUT,
        AGENT_AND_CONTROL_CUT
    }

    static Stream<Arguments> blowsAtEveryStep() {
        return Arrays.stream(Blow.values())
                .flatMap(
                        blow ->
                                Arrays.stream(Struck.values())
                                        .map(struck -> Arguments.of(blow, struck)));
    }

    @ParameterizedTest
    @MethodSource("blowsAtEveryStep")
    void anOrderRunsAtMostOnceAndEveryAnswerIsTrue(Blow blow, Struck struck, @TempDir Path folder)
            throws Exception {
        try (SmallSystem system = new SmallSystem(folder)) {
            system.startServiceAgent();
            system.startServiceAgent();
            system.startEntry();
            system.startEntry();
            system.applyConfiguration(DEADLINE_MILLISECONDS);
            system.awaitAgents(2);
            HttpResponse<String> first = orderStruck(system, blow, struck);
            int executionsThen = system.service().executionsOf(KEY);
            checkTrue(first, executionsThen, system);
            HttpResponse<String> last = resendUntilFinal(system);
            assertThat(system.service().executionsOf(KEY)).isAtMost(1);
            checkFinal(first, last, system);
        }
    }

    private static HttpResponse<String> orderStruck(SmallSystem system, Blow blow, Struck struck) {
        prepare(system, struck);
        if (struck == Struck.BEFORE_CLAIM) {
            strike(system, blow);
        }
        CompletableFuture<HttpResponse<String>> answer = system.order(0, KEY);
        if (struck != Struck.BEFORE_CLAIM) {
            awaitStep(system, struck);
            strike(system, blow);
        }
        HttpResponse<String> first = answer.exceptionally(lost -> null).join();
        heal(system);
        return first;
    }

    /** Holds the order back right after the step, so that the blow falls there. */
    private static void prepare(SmallSystem system, Struck struck) {
        switch (struck) {
            case BEFORE_CLAIM -> {}
            case AFTER_CLAIM -> links(system).forEach(LinkProxy::dropForward);
            case AFTER_RUN ->
                    system.service()
                            .setFaults(new FakeServiceFaults(SLOW_ANSWER_MILLISECONDS, false));
            case AFTER_ANSWER -> system.agentsToControl().dropForward();
            case AFTER_RECORD -> links(system).forEach(LinkProxy::dropBackward);
        }
    }

    private static void awaitStep(SmallSystem system, Struck struck) {
        switch (struck) {
            case BEFORE_CLAIM -> {}
            case AFTER_CLAIM ->
                    SmallSystem.await(() -> system.controlState().contains("\"claims\" : 1"));
            case AFTER_RUN, AFTER_ANSWER ->
                    SmallSystem.await(() -> system.service().executionsOf(KEY) == 1);
            case AFTER_RECORD ->
                    SmallSystem.await(
                            () -> !system.controlState().contains("\"kept_answer_bytes\" : 0"));
        }
    }

    private static void strike(SmallSystem system, Blow blow) {
        switch (blow) {
            case AGENT_KILLED -> {
                system.agent(0).close();
                system.agent(1).close();
            }
            case ENTRY_KILLED -> system.entry(0).close();
            case AGENT_CUT -> links(system).forEach(LinkProxy::cut);
            case REQUESTS_LOST -> links(system).forEach(LinkProxy::dropForward);
            case ANSWERS_LOST -> links(system).forEach(LinkProxy::dropBackward);
            case AGENT_SILENT -> links(system).forEach(LinkProxy::silenceOpen);
            case CONTROL_CUT -> system.entriesToControl().cut();
            case AGENT_AND_CONTROL_CUT -> {
                links(system).forEach(LinkProxy::cut);
                system.entriesToControl().cut();
                system.agentsToControl().cut();
            }
        }
    }

    private static void heal(SmallSystem system) {
        links(system).forEach(LinkProxy::heal);
        system.entriesToControl().heal();
        system.agentsToControl().heal();
        system.service().setFaults(FakeServiceFaults.none());
    }

    private static List<LinkProxy> links(SmallSystem system) {
        return List.of(system.linkToAgent(0), system.linkToAgent(1));
    }

    private static void checkTrue(HttpResponse<String> answer, int executions, SmallSystem system) {
        if (answer == null) {
            return;
        }
        switch (SmallSystem.verdictOf(answer)) {
            case "completed" -> assertThat(executions).isEqualTo(1);
            case "not-run" -> assertThat(system.service().executionsOf(KEY)).isEqualTo(0);
            default -> assertThat(SmallSystem.verdictOf(answer)).isEqualTo("may-have-run");
        }
    }

    private static HttpResponse<String> resendUntilFinal(SmallSystem system) {
        AtomicReference<HttpResponse<String>> last = new AtomicReference<>();
        SmallSystem.await(
                () -> {
                    if (noAgentLives(system)) {
                        system.startServiceAgent();
                    }
                    last.set(system.order(1, KEY).join());
                    return isFinal(last.get());
                });
        return last.get();
    }

    private static boolean noAgentLives(SmallSystem system) {
        return system.connectedAgents(system.entry(1)) == 0;
    }

    private static boolean isFinal(HttpResponse<String> answer) {
        return SmallSystem.verdictOf(answer).equals("completed")
                || FINAL_CODES.stream().anyMatch(answer.body()::contains);
    }

    private static void checkFinal(
            HttpResponse<String> first, HttpResponse<String> last, SmallSystem system) {
        if (SmallSystem.verdictOf(last).equals("completed")) {
            assertThat(system.service().executionsOf(KEY)).isEqualTo(1);
            assertThat(last.body()).contains("\"executions_of_key\":1");
        }
        if (first != null && SmallSystem.verdictOf(first).equals("completed")) {
            assertThat(last.body()).isEqualTo(first.body());
        }
    }
}
