package org.ibisstand.command;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.Daemon;
import org.ibisstand.fakes.FakeAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class GracefulStopTest {
    private static final int TOKENS = 400;
    private static final String[] BEARER = {"Authorization", "Bearer " + LocalSystem.TEAM_TOKEN};

    @TempDir private Path mFolder;
    private LocalSystem mSystem;

    @BeforeEach
    void start() throws Exception {
        mSystem = LocalSystem.start(mFolder);
    }

    @AfterEach
    void stop() throws Exception {
        mSystem.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"entry", "agent"})
    void cutsNoStreamInProgress(String kind) throws Exception {
        CompletableFuture<HttpResponse<String>> answer = startStream();
        Daemon daemon = kind.equals("entry") ? mSystem.entry() : mSystem.engineAgent();

        CompletableFuture<Void> stopped = daemon.stop();

        HttpResponse<String> response = answer.get(30, TimeUnit.SECONDS);
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
        assertThat(response.body()).contains(FakeAnswer.tokens("x", "m", "1", TOKENS).getLast());
        stopped.get(30, TimeUnit.SECONDS);
    }

    @Test
    void saysTruthfullyThatNewWorkAtALeavingAgentDidNotRun() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = startStream();
        mSystem.engineAgent().stop().get(30, TimeUnit.SECONDS);
        answer.get(30, TimeUnit.SECONDS);
        String before = mSystem.engineState();

        HttpResponse<String> refused = mSystem.complete();

        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).contains("\"verdict\":\"not-run\"");
        assertThat(mSystem.engineState()).isEqualTo(before);
    }

    private CompletableFuture<HttpResponse<String>> startStream() throws Exception {
        String body = "{'model':'m','prompt':'x','stream':true,'max_tokens':" + TOKENS + "}";
        CompletableFuture<HttpResponse<String>> answer =
                mSystem.sendLater("POST", "/v1/completions", body, BEARER);
        while (!mSystem.engineState().contains("\"running\":1")) {
            assertThat(answer.isDone()).isFalse();
        }
        return answer;
    }
}
