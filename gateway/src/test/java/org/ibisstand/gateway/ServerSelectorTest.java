package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ibisstand.gateway.ServerSelector.Candidate;
import org.junit.jupiter.api.Test;

class ServerSelectorTest {
    private final ServerSelector mSelector = new ServerSelector(new SplittableRandom(1));

    @Test
    void gatewaysWithTheSameReportDoNotAllChooseTheIdleServer() {
        List<Candidate> candidates = new ArrayList<>();
        for (int server = 0; server < 6; server++) {
            candidates.add(new Candidate(server, server == 0 ? 0 : 1, 0, false));
        }
        int idleServerChoices = 0;
        for (int request = 0; request < 600; request++) {
            idleServerChoices +=
                    mSelector.powerOfTwoChoices(candidates).orElseThrow().index() == 0 ? 1 : 0;
        }
        assertThat(idleServerChoices).isLessThan(300);
        assertThat(idleServerChoices).isGreaterThan(100);
    }

    @Test
    void aServerThatBacksOffIsUsedOnlyIfThereIsNoOther() {
        Candidate backingOff = new Candidate(0, 0, 0, true);
        Candidate busy = new Candidate(1, 100, 0, false);

        assertThat(mSelector.lowestCost(List.of(backingOff, busy))).hasValue(busy);
        assertThat(mSelector.lowestCost(List.of(backingOff))).hasValue(backingOff);
    }

    @Test
    void aServerThatFailsOftenCostsMore() {
        Candidate failing = new Candidate(0, 10, 0.5, false);
        Candidate busy = new Candidate(1, 20, 0, false);

        assertThat(mSelector.lowestCost(List.of(failing, busy))).hasValue(busy);
    }
}
