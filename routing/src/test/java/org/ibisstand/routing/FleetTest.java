package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.ibisstand.base.AgentIdentifier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetTest {
    private static final Fleet FLEET =
            Fleet.of(List.of(TestAgents.agent(1), TestAgents.agent(2), TestAgents.agent(3, true)));

    @ParameterizedTest
    @CsvSource({"contracts,1,2", "contracts,2,0", "summaries,1,0"})
    void groupsAgentsByModelAndWeights(String model, String weights, int size) {
        assertThat(FLEET.agentsForModel(model, weights).size()).isEqualTo(size);
    }

    @Test
    void excludesLeavingAgentsFromGroups() {
        Fleet updated = FLEET.with(List.of(TestAgents.agent(1, true)), List.of());
        assertThat(updated.agentsForService("orders").agents())
                .containsExactly(TestAgents.agent(2));
        assertThat(updated.find(new AgentIdentifier("agent-1"))).isPresent();
    }

    @Test
    void reusesUnchangedGroups() {
        Fleet updated = FLEET.with(List.of(), List.of(new AgentIdentifier("agent-3")));
        assertThat(updated.agentsForService("orders"))
                .isSameInstanceAs(FLEET.agentsForService("orders"));
    }
}
