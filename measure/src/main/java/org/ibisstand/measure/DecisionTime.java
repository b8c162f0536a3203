package org.ibisstand.measure;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.base.PrefixChain;
import org.ibisstand.routing.AgentGroup;
import org.ibisstand.routing.AgentLoads;
import org.ibisstand.routing.AgentView;
import org.ibisstand.routing.Fleet;
import org.ibisstand.routing.Offer;
import org.ibisstand.routing.Placement;
import org.ibisstand.routing.PlacementPolicy;
import org.ibisstand.routing.PlacementRequest;
import org.ibisstand.routing.PlacementRound;
import org.ibisstand.routing.PlacementStep;
import org.ibisstand.routing.RecentPlacements;
import org.ibisstand.routing.ServedModel;
import org.ibisstand.routing.SlownessTracker;

/**
 * Times one placement decision for fleets of growing size: naming the candidates, taking in their
 * offers and choosing. Messages are not counted in.
 */
final class DecisionTime {
    private static final int[] FLEET_SIZES = {6, 60, 600};
    private static final int PIECES = 16;
    private static final int PIECE_BYTES = 4096;
    private static final int PREFIXES = 2000;
    private static final int WARM_ROUNDS = 200_000;
    private static final int DECISIONS = 200_000;
    private static final int REPEATS = 7;
    private static final String MODEL = "model";
    private static final String WEIGHTS = "1";

    private final Clock mClock;
    private final Placement mPlacement;
    private final AgentGroup mGroup;
    private final List<PrefixChain> mChains;
    private long mAsked;

    private DecisionTime(Clock clock, int agents) {
        mClock = clock;
        mGroup = fleet(agents).agentsForModel(MODEL, WEIGHTS);
        mChains = chains(new Random(agents));
        mPlacement =
                Placement.create(
                        PlacementPolicy.standard(),
                        AgentLoads.create(),
                        RecentPlacements.ofBits(16),
                        SlownessTracker.create(),
                        new Random(1));
    }

    /**
     * Prints a line for each size of the fleet.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        System.out.println("agents  median_ns  least_ns  most_ns  offers");
        for (int agents : FLEET_SIZES) {
            System.out.println(new DecisionTime(MonotonicClock.start(), agents).line(agents));
        }
    }

    private String line(int agents) {
        decide(WARM_ROUNDS);
        mAsked = 0;
        List<Long> times = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            Instant start = mClock.instant();
            decide(DECISIONS);
            times.add(Duration.between(start, mClock.instant()).toNanos() / DECISIONS);
        }
        times.sort(null);
        double offers = (double) mAsked / DECISIONS / REPEATS;
        return String.format(
                Locale.ROOT,
                "%6d  %9d  %8d  %7d  %6.2f",
                agents,
                times.get(REPEATS / 2),
                times.getFirst(),
                times.getLast(),
                offers);
    }

    private void decide(int count) {
        Instant now = Instant.EPOCH;
        for (int decision = 0; decision < count; decision++) {
            PrefixChain chain = mChains.get(decision % mChains.size());
            PlacementRequest request = new PlacementRequest(mGroup, Optional.of(chain), Set.of());
            Placement.Start start = mPlacement.begin(request, now);
            PlacementRound round = start.round().orElseThrow();
            PlacementStep step = start.firstStep();
            while (step instanceof PlacementStep.RequestOffers ask) {
                for (AgentView view : ask.agents()) {
                    mAsked++;
                    step = round.onOffer(view.agent(), view.boot(), offer(decision), now);
                }
            }
        }
    }

    private static Offer offer(int decision) {
        int held = decision % PIECES;
        double wait = decision % 97;
        double rest = (PIECES - held) * PIECE_BYTES / 40.0;
        return new Offer(held, wait, wait + rest, 40, 2, 0);
    }

    private static Fleet fleet(int size) {
        List<AgentView> views = new ArrayList<>();
        for (int number = 0; number < size; number++) {
            views.add(
                    new AgentView(
                            new AgentIdentifier("agent-" + number),
                            new BootIdentifier(number + 1),
                            "zone-" + number % 4,
                            List.of(new ServedModel(MODEL, WEIGHTS)),
                            List.of(),
                            false));
        }
        return Fleet.of(views);
    }

    private static List<PrefixChain> chains(Random random) {
        List<PrefixChain> chains = new ArrayList<>();
        for (int prefix = 0; prefix < PREFIXES; prefix++) {
            long[] hashes = random.longs(PIECES).toArray();
            chains.add(PrefixChain.ofHashes(hashes, PIECE_BYTES, PIECES * PIECE_BYTES));
        }
        return chains;
    }
}
