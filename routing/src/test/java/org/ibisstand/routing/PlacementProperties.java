package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.ibisstand.base.PrefixChain;

class PlacementProperties {
    private static final Instant NOW = Instant.EPOCH;
    private static final PlacementPolicy.CheapestOffer POLICY =
            new PlacementPolicy.CheapestOffer(6, 6, 2.0, Duration.ofMillis(5));

    @Property(seed = "1", tries = 300)
    void takesTheCheapestOfAllOffers(
            @ForAll @IntRange(min = 1, max = 6) int size, @ForAll long seed) {
        Random random = new Random(seed);
        AgentGroup group = TestAgents.group(size);
        PrefixChain chain = TestAgents.chain(1, 2, 3, 4);
        Placement placement = placement(POLICY, random);
        Placement.Start start = placement.begin(TestAgents.request(group, chain), NOW);
        PlacementRound round = start.round().orElseThrow();
        List<AgentView> candidates = ((PlacementStep.RequestOffers) start.firstStep()).agents();
        double lowestCost = Double.POSITIVE_INFINITY;
        PlacementStep step = start.firstStep();
        for (AgentView view : candidates) {
            Offer offer = randomOffer(random);
            lowestCost = Math.min(lowestCost, expectedCost(offer));
            step = round.onOffer(view.agent(), view.boot(), offer, NOW);
        }
        Choice choice = ((PlacementStep.Send) step).choice();
        assertThat(expectedCost(choice.offer().orElseThrow())).isEqualTo(lowestCost);
    }

    @Property(seed = "1", tries = 100)
    void sendsEveryRequestWhicheverAgentsAnswer(
            @ForAll @IntRange(min = 1, max = 40) int size, @ForAll long seed) {
        Random random = new Random(seed);
        Placement placement = placement(PlacementPolicy.standard(), random);
        AgentGroup group = TestAgents.group(size);
        PrefixChain chain = TestAgents.chain(seed, seed + 1);
        Placement.Start start = placement.begin(TestAgents.request(group, chain), NOW);
        PlacementRound round = start.round().orElseThrow();
        PlacementStep step = start.firstStep();
        while (step instanceof PlacementStep.RequestOffers request) {
            step = new PlacementStep.Wait();
            for (AgentView view : request.agents()) {
                step = answerAtRandom(round, view, random, step);
            }
            PlacementStep stepAfterTimeout = round.onOfferTimeout(NOW);
            if (step instanceof PlacementStep.Wait) {
                step = stepAfterTimeout;
            } else {
                assertThat(stepAfterTimeout).isEqualTo(new PlacementStep.Wait());
            }
        }
        assertThat(step).isInstanceOf(PlacementStep.Send.class);
        assertThat(round.onOfferTimeout(NOW)).isEqualTo(new PlacementStep.Wait());
    }

    private static PlacementStep answerAtRandom(
            PlacementRound round, AgentView view, Random random, PlacementStep stepIfSilent) {
        return switch (random.nextInt(3)) {
            case 0 -> round.onOffer(view.agent(), view.boot(), randomOffer(random), NOW);
            case 1 -> round.onNoOffer(view.agent(), NOW);
            default -> stepIfSilent;
        };
    }

    private static Placement placement(PlacementPolicy policy, Random random) {
        return Placement.create(
                policy,
                AgentLoads.create(),
                RecentPlacements.ofBits(10),
                SlownessTracker.create(),
                random);
    }

    private static Offer randomOffer(Random random) {
        int cachedPieces = random.nextInt(5);
        double wait = random.nextInt(1000);
        double rate = 1 + random.nextInt(3);
        double firstToken = wait + (400 - cachedPieces * 100) / rate;
        double others = random.nextInt(100);
        return new Offer(cachedPieces, wait, firstToken, rate, 0, others);
    }

    private static double expectedCost(Offer offer) {
        double recompute = (400 - 100.0 * offer.cachedPieces()) / offer.bytesPerMillisecond();
        return offer.waitMilliseconds() + 2 * recompute + offer.costOnOthersMilliseconds();
    }
}
