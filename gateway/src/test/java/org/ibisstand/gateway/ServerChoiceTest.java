package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ibisstand.gateway.ServerChoice.Candidate;
import org.junit.jupiter.api.Test;

class ServerChoiceTest {
    private final ServerChoice mChoice = new ServerChoice(new SplittableRandom(1));

    @Test
    void entriesWithTheSameReportDoNotAllChooseTheIdleServer() {
        List<Candidate> candidates = new ArrayList<>();
        for (int server = 0; server < 6; server++) {
            candidates.add(new Candidate(server, server == 0 ? 0 : 1, 0, false));
        }
        int idle = 0;
        for (int request = 0; request < 600; request++) {
            idle += mChoice.ofTwo(candidates).orElseThrow().server() == 0 ? 1 : 0;
        }
        assertThat(idle).isLessThan(300);
        assertThat(idle).isGreaterThan(100);
    }

    @Test
    void aServerThatFailedJustNowIsUsedOnlyWhileThereIsNoOther() {
        Candidate paused = new Candidate(0, 0, 0, true);
        Candidate busy = new Candidate(1, 100, 0, false);

        assertThat(mChoice.least(List.of(paused, busy))).hasValue(busy);
        assertThat(mChoice.least(List.of(paused))).hasValue(paused);
    }

    @Test
    void aServerThatFailsOftenCostsMore() {
        Candidate failing = new Candidate(0, 10, 0.5, false);
        Candidate busy = new Candidate(1, 20, 0, false);

        assertThat(mChoice.least(List.of(failing, busy))).hasValue(busy);
    }
}
