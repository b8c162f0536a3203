package org.ibisstand.faults;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.ibisstand.fakes.FakeEngineFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Serves calls through real daemons while one part of the way fails. */
class WholePathTest {
    private static final int DEADLINE_MILLISECONDS = 20_000;
    private static final int TOKENS = 400;

    /** What strikes the connection between entry and agent in the middle of an answer. */
    enum Blow {
        RESET,
        SILENT,
        ANSWERS_LOST,
        CUT
    }

    @TempDir Path mFolder;
    private SmallSystem mSystem;

    @BeforeEach
    void start() {
        mSystem = new SmallSystem(mFolder);
        mSystem.startEngineAgent();
        mSystem.startServiceAgent();
        mSystem.startEntry();
        mSystem.applyConfiguration(DEADLINE_MILLISECONDS);
        mSystem.awaitAgents(2);
    }

    @AfterEach
    void stop() throws Exception {
        mSystem.close();
    }

    @Test
    void servesAPostThatOffersAnUpgradeToHttp2() {
        assertThat(mSystem.promptOfferingUpgrade("hello").join().statusCode()).isEqualTo(200);
    }

    @Test
    void anEntryThatRestartsServesWhileControlIsDown() {
        SmallSystem.await(this::copyIsComplete);
        assertThat(mSystem.lookUp(0).join().statusCode()).isEqualTo(200);
        mSystem.agentsToControl().cut();
        mSystem.entriesToControl().cut();
        mSystem.entry(0).close();
        mSystem.startEntry();
        SmallSystem.await(() -> mSystem.lookUp(1).join().statusCode() == 200);
    }

    private boolean copyIsComplete() {
        try {
            byte[] copy = Files.readAllBytes(mFolder.resolve("entry").resolve("entry-state"));
            String text = new String(copy, StandardCharsets.ISO_8859_1);
            return text.contains("agent-0") && text.contains("agent-1") && text.contains("buyers");
        } catch (IOException e) {
            return false;
        }
    }

    @ParameterizedTest
    @EnumSource(Blow.class)
    void anAnswerIsWholeAndInOrderAfterItsConnectionFailed(Blow blow) {
        CompletableFuture<HttpResponse<String>> answer = mSystem.prompt(0, "question", TOKENS);
        SmallSystem.await(() -> mSystem.engine().isGenerating());
        strike(blow);
        String body = answer.join().body();
        assertThat(body).contains("data: [DONE]");
        int from = 0;
        for (int token = 1; token < TOKENS; token++) {
            from = body.indexOf("\" w" + token + "\"", from);
            assertThat(from).isAtLeast(0);
        }
        assertThat(body).doesNotContain("event: error");
    }

    private void strike(Blow blow) {
        LinkProxy link = mSystem.linkToAgent(0);
        switch (blow) {
            case RESET -> link.reset();
            case SILENT -> link.silenceOpen();
            case ANSWERS_LOST -> {
                link.dropBackward();
                link.heal();
            }
            case CUT -> {
                link.cut();
                link.heal();
            }
        }
    }

    @Test
    void anAnswerWhoseEngineDiedIsVisiblyCut() {
        mSystem.engine().setFaults(FakeEngineFaults.crashAfter(5));
        String outcome =
                mSystem.prompt(0, "question", TOKENS)
                        .thenApply(HttpResponse::body)
                        .exceptionally(lost -> String.valueOf(((CompletionException) lost)))
                        .join();
        assertThat(outcome).doesNotContain("[DONE]");
    }
}
