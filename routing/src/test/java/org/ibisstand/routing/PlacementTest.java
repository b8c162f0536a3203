package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.PrefixChain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class PlacementTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final AgentGroup GROUP = TestAgents.group(12);

    static Stream<PlacementPolicy> policies() {
        return Stream.of(
                PlacementPolicy.standard(),
                new PlacementPolicy.RoundRobin(),
                new PlacementPolicy.LeastOutstanding(),
                new PlacementPolicy.PowerOfTwoChoices(),
                new PlacementPolicy.PrefixHash(),
                new PlacementPolicy.LessLoadedOfTopTwo());
    }

    private static Placement placement(PlacementPolicy policy) {
        return placement(policy, SlownessTracker.create());
    }

    private static Placement placement(PlacementPolicy policy, SlownessTracker slownessTracker) {
        return Placement.create(
                policy,
                AgentLoads.create(),
                RecentPlacements.ofBits(10),
                slownessTracker,
                new Random(1));
    }

    @ParameterizedTest
    @MethodSource("policies")
    void neverSendsToAnExcludedAgent(PlacementPolicy policy) {
        Placement placement = placement(policy);
        AgentView remaining = GROUP.agent(3);
        Set<AgentIdentifier> excluded = new HashSet<>();
        GROUP.agents().forEach(view -> excluded.add(view.agent()));
        excluded.remove(remaining.agent());
        PlacementRequest request =
                new PlacementRequest(GROUP, Optional.of(TestAgents.chain(1, 2)), excluded);
        Placement.Start start = placement.begin(request, NOW);
        PlacementStep step = start.firstStep();
        if (start.round().isPresent()) {
            step = start.round().get().onOfferTimeout(NOW);
        }
        assertThat(step).isEqualTo(new PlacementStep.Send(new Choice(remaining, Optional.empty())));
    }

    @ParameterizedTest
    @MethodSource("policies")
    void refusesIfGroupIsEmpty(PlacementPolicy policy) {
        PlacementRequest request = TestAgents.request(AgentGroup.empty(), TestAgents.chain(1, 2));
        assertThat(placement(policy).begin(request, NOW).firstStep())
                .isEqualTo(new PlacementStep.Refuse());
    }

    @ParameterizedTest
    @CsvSource({"2,6", "3,4", "4,4"})
    void asksMoreAgentsIfLessThanHalfOfThePromptIsKnown(int knownPieces, int expectedAgents) {
        Placement placement = placement(PlacementPolicy.standard());
        long[] known = new long[knownPieces];
        long[] prompt = {1, 2, 3, 4, 5, 6};
        System.arraycopy(prompt, 0, known, 0, knownPieces);
        begin(placement, known).round().orElseThrow().onOfferTimeout(NOW);
        PlacementStep.RequestOffers step =
                (PlacementStep.RequestOffers) begin(placement, prompt).firstStep();
        assertThat(step.agents()).hasSize(expectedAgents);
    }

    @Test
    void asksMoreAgentsIfTheFirstOffersAreExpensive() {
        Placement.Start start = beginWithKnownPrompt();
        PlacementStep.RequestOffers first = (PlacementStep.RequestOffers) start.firstStep();
        PlacementStep step = start.firstStep();
        for (AgentView view : first.agents()) {
            Offer expensive = TestAgents.offer(0, 10_000, 10_300);
            step = start.round().orElseThrow().onOffer(view.agent(), view.boot(), expensive, NOW);
        }
        List<AgentView> more = ((PlacementStep.RequestOffers) step).agents();
        assertThat(more).isNotEmpty();
        assertThat(more).containsNoneIn(first.agents());
    }

    @Test
    void avoidsSlowedAgentsUnlessTheAlternativeIsSlowed() {
        SlownessTracker slownessTracker = SlownessTracker.create();
        AgentGroup group = TestAgents.group(3);
        Placement placement = placement(new PlacementPolicy.PowerOfTwoChoices(), slownessTracker);
        slowDown(slownessTracker, group.agent(0));
        assertThat(callsTo(placement, group).get(group.agent(0))).isNull();
        slowDown(slownessTracker, group.agent(1));
        slowDown(slownessTracker, group.agent(2));
        assertThat(callsTo(placement, group)).hasSize(3);
    }

    private static void slowDown(SlownessTracker slownessTracker, AgentView view) {
        TrackedOperation work = slownessTracker.started(view.agent(), Duration.ofMillis(100), NOW);
        slownessTracker.completed(work, NOW.plusMillis(500));
    }

    private static Map<AgentView, Long> callsTo(Placement placement, AgentGroup group) {
        PlacementRequest call = new PlacementRequest(group, Optional.empty(), Set.of());
        return Stream.generate(() -> placement.begin(call, NOW.plusMillis(500)).firstStep())
                .limit(200)
                .map(step -> ((PlacementStep.Send) step).choice().agent())
                .collect(Collectors.groupingBy(view -> view, Collectors.counting()));
    }

    @Test
    void timesOutEachOfferRequestSeparately() {
        Placement.Start start = beginWithKnownPrompt();
        PlacementRound round = start.round().orElseThrow();
        PlacementStep step = start.firstStep();
        for (AgentView view : ((PlacementStep.RequestOffers) start.firstStep()).agents()) {
            Offer expensive = TestAgents.offer(0, 10_000, 10_300);
            step = round.onOffer(view.agent(), view.boot(), expensive, NOW);
        }
        assertThat(step).isInstanceOf(PlacementStep.RequestOffers.class);
        // The timeout of the first request arrives late; it must not end the second one.
        assertThat(round.onOfferTimeout(NOW)).isEqualTo(new PlacementStep.Wait());
        assertThat(round.onOfferTimeout(NOW)).isInstanceOf(PlacementStep.Send.class);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, -1, Double.NaN, Double.POSITIVE_INFINITY})
    void prefersPlausibleOffers(double invalid) {
        for (Offer implausible :
                List.of(
                        new Offer(3, 0, 1, invalid, 0, 0),
                        new Offer(9, invalid, -1 / invalid, invalid, 0, invalid))) {
            Placement.Start start = begin(placement(PlacementPolicy.standard()), 1, 2, 3);
            List<AgentView> candidates = ((PlacementStep.RequestOffers) start.firstStep()).agents();
            AgentView implausibleAgent = candidates.get(0);
            PlacementRound round = start.round().orElseThrow();
            round.onOffer(implausibleAgent.agent(), implausibleAgent.boot(), implausible, NOW);
            AgentView plausibleAgent = candidates.get(1);
            round.onOffer(
                    plausibleAgent.agent(),
                    plausibleAgent.boot(),
                    TestAgents.offer(0, 100, 400),
                    NOW);
            PlacementStep.Send send = (PlacementStep.Send) round.onOfferTimeout(NOW);
            assertThat(send.choice().agent()).isEqualTo(plausibleAgent);
        }
    }

    @Test
    void ignoresOffersOfAnotherBoot() {
        Placement.Start start = begin(placement(PlacementPolicy.standard()), 1, 2, 3);
        PlacementRound round = start.round().orElseThrow();
        List<AgentView> candidates = ((PlacementStep.RequestOffers) start.firstStep()).agents();
        AgentView restarted = candidates.get(0);
        Offer stale = TestAgents.offer(3, 0, 1);
        round.onOffer(restarted.agent(), new BootIdentifier(1_000), stale, NOW);
        PlacementStep step = new PlacementStep.Wait();
        for (AgentView view : candidates.subList(1, candidates.size())) {
            step = round.onOffer(view.agent(), view.boot(), TestAgents.offer(1, 50, 250), NOW);
        }
        Choice choice = ((PlacementStep.Send) step).choice();
        assertThat(choice.agent()).isNotEqualTo(restarted);
    }

    @Test
    void asksTheAgentThatLastReceivedThePrefix() {
        Placement placement = placement(PlacementPolicy.standard());
        Placement.Start first = begin(placement, 1, 2, 3);
        AgentView lastAgent = ((PlacementStep.RequestOffers) first.firstStep()).agents().getLast();
        PlacementRound round = first.round().orElseThrow();
        round.onOffer(lastAgent.agent(), lastAgent.boot(), TestAgents.offer(0, 0, 300), NOW);
        round.onOfferTimeout(NOW);
        Placement.Start second = begin(placement, 1, 2, 4);
        assertThat(((PlacementStep.RequestOffers) second.firstStep()).agents()).contains(lastAgent);
    }

    @Test
    void restartedEntriesAskTheSameAgents() {
        PlacementStep left = begin(placement(PlacementPolicy.standard()), 1, 2, 3).firstStep();
        PlacementStep right = begin(placement(PlacementPolicy.standard()), 1, 2, 3).firstStep();
        assertThat(left).isEqualTo(right);
    }

    private static Placement.Start beginWithKnownPrompt() {
        Placement placement = placement(PlacementPolicy.standard());
        begin(placement, 1, 2, 3).round().orElseThrow().onOfferTimeout(NOW);
        return begin(placement, 1, 2, 3);
    }

    private static Placement.Start begin(Placement placement, long... seeds) {
        PrefixChain chain = TestAgents.chain(seeds);
        return placement.begin(TestAgents.request(GROUP, chain), NOW);
    }
}
