package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class AgentGroupProperties {
    @Property(seed = "1", tries = 200)
    void keepsOrderOfOtherAgentsWhenOneLeaves(
            @ForAll @IntRange(min = 1, max = 60) int size,
            @ForAll @IntRange(min = 0, max = 59) int leaverPosition,
            @ForAll long hash) {
        List<AgentView> rest = new ArrayList<>(TestAgents.group(size).agents());
        List<AgentView> ranked = new ArrayList<>(TestAgents.group(size).ranked(hash));
        AgentView leaver = rest.remove(leaverPosition % size);
        ranked.remove(leaver);
        assertThat(AgentGroup.of(rest).ranked(hash)).isEqualTo(ranked);
    }

    @Property(seed = "1", tries = 200)
    void topTwoMatchFullRanking(@ForAll @IntRange(min = 2, max = 60) int size, @ForAll long hash) {
        AgentGroup group = TestAgents.group(size);
        List<AgentView> ranked = group.ranked(hash);
        for (int repeat = 0; repeat < 2; repeat++) {
            assertThat(group.firstRanked(hash)).hasValue(ranked.get(0));
            assertThat(group.secondRanked(hash)).hasValue(ranked.get(1));
        }
    }

    @Property(seed = "1", tries = 20)
    void spreadsPrefixesOverAllAgents(@ForAll @IntRange(min = 1, max = 30) int size) {
        AgentGroup group = TestAgents.group(size);
        int[] counts = new int[size];
        int perAgent = 300;
        for (long number = 0; number < (long) size * perAgent; number++) {
            AgentView agent = group.firstRanked(Hashes.mix(number + 1)).orElseThrow();
            counts[group.agents().indexOf(agent)]++;
        }
        for (int count : counts) {
            assertThat(count).isGreaterThan(perAgent / 2);
            assertThat(count).isLessThan(perAgent * 2);
        }
    }
}
