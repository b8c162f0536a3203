package org.ibisstand.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.PrefixChain;

/** Chooses an agent for each request by one policy; may be used by any thread. */
public final class Placement {
    // A slowed agent is all but left out, yet never refused where every other is slowed too.
    private static final double SLOWNESS_EXPONENT = 3;

    private final PlacementPolicy mPolicy;
    private final AgentLoads mLoads;
    private final RecentPlacements mRecent;
    private final SlownessTracker mObservations;
    private final RandomGenerator mRandom;
    private final Candidates mCandidates;
    private final AtomicInteger mTurn = new AtomicInteger();

    private Placement(
            PlacementPolicy policy,
            AgentLoads loads,
            RecentPlacements recent,
            SlownessTracker observations,
            RandomGenerator random) {
        mPolicy = policy;
        mLoads = loads;
        mRecent = recent;
        mObservations = observations;
        mRandom = random;
        mCandidates = new Candidates(recent);
    }

    /**
     * Creates a placement.
     *
     * @param policy how agents are chosen
     * @param loads what this entry knows of the agents' load; the caller counts requests in it
     * @param recent the prefixes that this entry placed lately
     * @param observations how slow the agents were lately
     * @param random the source of random choices, safe for all threads that use the placement
     */
    public static Placement create(
            PlacementPolicy policy,
            AgentLoads loads,
            RecentPlacements recent,
            SlownessTracker observations,
            RandomGenerator random) {
        return new Placement(policy, loads, recent, observations, random);
    }

    /**
     * Begins to place a request.
     *
     * @param request what is to be placed
     * @param now the present
     */
    public Start begin(PlacementRequest request, Instant now) {
        Optional<PrefixChain> chain = request.chain().filter(hashes -> hashes.length() > 0);
        if (chain.isPresent() && mPolicy instanceof PlacementPolicy.CheapestOffer offers) {
            return beginOffers(request, chain.get(), offers, now);
        }
        return new Start(Optional.empty(), sendTo(request, choose(request, chain, now)));
    }

    private Start beginOffers(
            PlacementRequest request,
            PrefixChain chain,
            PlacementPolicy.CheapestOffer policy,
            Instant now) {
        List<AgentView> candidates = mCandidates.of(request, chain, policy.allCandidates());
        if (candidates.isEmpty()) {
            return new Start(Optional.empty(), withoutOffers(request, now));
        }
        OfferCost cost = OfferCost.of(chain, policy.recomputeWeight());
        PlacementRound round = new PlacementRound(request, policy, cost, candidates, this);
        return new Start(Optional.of(round), round.askFirst(firstCandidates(chain, policy)));
    }

    private int firstCandidates(PrefixChain chain, PlacementPolicy.CheapestOffer policy) {
        boolean isMostlyKnown = 2 * mRecent.sharedPieces(chain) >= chain.length();
        return isMostlyKnown ? policy.firstCandidates() : policy.allCandidates();
    }

    private Optional<AgentView> choose(
            PlacementRequest request, Optional<PrefixChain> chain, Instant now) {
        return switch (mPolicy) {
            case PlacementPolicy.CheapestOffer offers -> twoChoices(request, now);
            case PlacementPolicy.PowerOfTwoChoices twoChoices -> twoChoices(request, now);
            case PlacementPolicy.RoundRobin roundRobin -> roundRobin(request);
            case PlacementPolicy.LeastOutstanding leastOutstanding ->
                    least(request, view -> mLoads.outstanding(view.agent()));
            case PlacementPolicy.PrefixHash prefixHash ->
                    chain.isPresent()
                            ? firstAllowed(request, mCandidates.deepestShared(chain.get()))
                            : roundRobin(request);
            case PlacementPolicy.LessLoadedOfTopTwo lighter ->
                    chain.isPresent()
                            ? lighterRank(request, mCandidates.deepestShared(chain.get()), now)
                            : twoChoices(request, now);
        };
    }

    private Optional<AgentView> roundRobin(PlacementRequest request) {
        AgentGroup group = request.group();
        for (int step = 0; step < group.size(); step++) {
            int turn = Math.floorMod(mTurn.getAndIncrement(), group.size());
            if (request.allows(group.agent(turn))) {
                return Optional.of(group.agent(turn));
            }
        }
        return Optional.empty();
    }

    private Optional<AgentView> least(PlacementRequest request, ToDoubleFunction<AgentView> load) {
        // Ties go to the next agent in turn, else the first name would get them all.
        AgentGroup group = request.group();
        int start = mTurn.getAndIncrement();
        AgentView best = null;
        double least = Double.POSITIVE_INFINITY;
        for (int step = 0; step < group.size(); step++) {
            AgentView view = group.agent(Math.floorMod(start + step, group.size()));
            double found = request.allows(view) ? load.applyAsDouble(view) : least;
            if (found < least) {
                best = view;
                least = found;
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<AgentView> twoChoices(PlacementRequest request, Instant now) {
        List<AgentView> allowed = request.group().agents();
        if (!request.excluded().isEmpty()) {
            allowed = allowed.stream().filter(request::allows).toList();
        }
        if (allowed.size() < 2) {
            return allowed.stream().findFirst();
        }
        int first = mRandom.nextInt(allowed.size());
        int second = (first + 1 + mRandom.nextInt(allowed.size() - 1)) % allowed.size();
        return Optional.of(lighter(allowed.get(first), allowed.get(second), now));
    }

    private Optional<AgentView> lighterRank(PlacementRequest request, long hash, Instant now) {
        Optional<AgentView> first = request.group().firstRank(hash).filter(request::allows);
        Optional<AgentView> second = request.group().secondRank(hash).filter(request::allows);
        if (first.isPresent() && second.isPresent()) {
            return Optional.of(lighter(first.get(), second.get(), now));
        }
        return first.or(() -> second).or(() -> firstAllowed(request, hash));
    }

    private AgentView lighter(AgentView first, AgentView second, Instant now) {
        return load(second, now) < load(first, now) ? second : first;
    }

    private double load(AgentView view, Instant now) {
        double requests = 1 + mLoads.estimate(view.agent(), now);
        return requests * Math.pow(slowness(view.agent(), now), SLOWNESS_EXPONENT);
    }

    private Optional<AgentView> firstAllowed(PlacementRequest request, long hash) {
        Optional<AgentView> first = request.group().firstRank(hash).filter(request::allows);
        if (first.isPresent()) {
            return first;
        }
        return request.group().ranked(hash).stream().filter(request::allows).findFirst();
    }

    /** Places a request that nobody made an offer for. */
    PlacementStep withoutOffers(PlacementRequest request, Instant now) {
        Optional<AgentView> agent =
                request.chain()
                        .filter(chain -> chain.length() > 0)
                        .flatMap(chain -> firstAllowed(request, mCandidates.deepestShared(chain)))
                        .or(() -> twoChoices(request, now));
        return sendTo(request, agent);
    }

    private PlacementStep sendTo(PlacementRequest request, Optional<AgentView> agent) {
        agent.ifPresent(view -> remember(request, view));
        return agent.map(view -> new Choice(view, Optional.empty()))
                .<PlacementStep>map(PlacementStep.Send::new)
                .orElseGet(PlacementStep.Reject::new);
    }

    /** Remembers where a prompt was placed. */
    void remember(PlacementRequest request, AgentView agent) {
        request.chain().ifPresent(chain -> mRecent.remember(chain, chain.length(), agent.agent()));
    }

    /** Takes in what an offer tells about the agent. */
    void learn(AgentIdentifier agent, Offer offer, Instant now) {
        mLoads.queueReported(agent, offer.queued(), now);
    }

    /** Returns how many times longer than predicted an agent takes now. */
    double slowness(AgentIdentifier agent, Instant now) {
        return mObservations.slowness(agent, now);
    }

    /**
     * The begin of a placement.
     *
     * @param round takes the offers; empty if the first step is the last
     * @param firstStep what to do first
     */
    public record Start(Optional<PlacementRound> round, PlacementStep firstStep) {}
}
