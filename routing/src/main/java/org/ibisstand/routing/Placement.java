package org.ibisstand.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.PrefixChain;

/** Chooses the agent that serves a request, following one policy. Thread-safe. */
public final class Placement {
    // Steep enough that a slowed agent gets almost no requests, but can still be chosen when all
    // others are slowed too.
    private static final double SLOWNESS_EXPONENT = 3;

    private final PlacementPolicy mPolicy;
    private final AgentLoads mLoads;
    private final RecentPlacements mRecentPlacements;
    private final SlownessTracker mSlownessTracker;
    private final RandomGenerator mRandom;
    private final CandidateSelector mCandidateSelector;
    private final AtomicInteger mNextPosition = new AtomicInteger();

    private Placement(
            PlacementPolicy policy,
            AgentLoads loads,
            RecentPlacements recent,
            SlownessTracker slownessTracker,
            RandomGenerator random) {
        mPolicy = policy;
        mLoads = loads;
        mRecentPlacements = recent;
        mSlownessTracker = slownessTracker;
        mRandom = random;
        mCandidateSelector = new CandidateSelector(recent);
    }

    /**
     * Creates a placement.
     *
     * @param policy how agents are chosen
     * @param loads the load of each agent as known to this entry; the caller must update it when
     *     requests start and finish
     * @param recent the prompt prefixes that this entry placed recently
     * @param slownessTracker the recent slowness of each agent
     * @param random the source of random choices; must be thread-safe if the placement is shared
     */
    public static Placement create(
            PlacementPolicy policy,
            AgentLoads loads,
            RecentPlacements recent,
            SlownessTracker slownessTracker,
            RandomGenerator random) {
        return new Placement(policy, loads, recent, slownessTracker, random);
    }

    /**
     * Starts placing a request.
     *
     * @param request the request to place
     * @param now the current time
     */
    public Start begin(PlacementRequest request, Instant now) {
        Optional<PrefixChain> chain = request.chain().filter(hashes -> hashes.length() > 0);
        if (chain.isPresent() && mPolicy instanceof PlacementPolicy.CheapestOffer offers) {
            return requestOffers(request, chain.get(), offers, now);
        }
        return new Start(Optional.empty(), sendOrRefuse(request, chooseAgent(request, chain, now)));
    }

    private Start requestOffers(
            PlacementRequest request,
            PrefixChain chain,
            PlacementPolicy.CheapestOffer policy,
            Instant now) {
        List<AgentView> candidates =
                mCandidateSelector.select(request, chain, policy.maximumCandidates());
        if (candidates.isEmpty()) {
            return new Start(Optional.empty(), placeWithoutOffers(request, now));
        }
        OfferCost cost = OfferCost.of(chain, policy.recomputeWeight());
        PlacementRound round = new PlacementRound(request, policy, cost, candidates, this);
        return new Start(
                Optional.of(round),
                round.requestInitialOffers(initialCandidateCount(chain, policy)));
    }

    private int initialCandidateCount(PrefixChain chain, PlacementPolicy.CheapestOffer policy) {
        boolean isMostlyShared = 2 * mRecentPlacements.sharedPieces(chain) >= chain.length();
        return isMostlyShared ? policy.initialCandidates() : policy.maximumCandidates();
    }

    private Optional<AgentView> chooseAgent(
            PlacementRequest request, Optional<PrefixChain> chain, Instant now) {
        return switch (mPolicy) {
            case PlacementPolicy.CheapestOffer cheapestOffer -> lessLoadedOfTwoRandom(request, now);
            case PlacementPolicy.PowerOfTwoChoices twoChoices ->
                    lessLoadedOfTwoRandom(request, now);
            case PlacementPolicy.RoundRobin roundRobin -> roundRobin(request);
            case PlacementPolicy.LeastOutstanding leastOutstanding ->
                    leastLoaded(request, view -> mLoads.outstanding(view.agent()));
            case PlacementPolicy.PrefixHash prefixHash ->
                    chain.isPresent()
                            ? firstAllowedByRank(
                                    request,
                                    mCandidateSelector.longestSharedPrefixHash(chain.get()))
                            : roundRobin(request);
            case PlacementPolicy.LessLoadedOfTopTwo lessLoaded ->
                    chain.isPresent()
                            ? lessLoadedOfTopTwo(
                                    request,
                                    mCandidateSelector.longestSharedPrefixHash(chain.get()),
                                    now)
                            : lessLoadedOfTwoRandom(request, now);
        };
    }

    private Optional<AgentView> roundRobin(PlacementRequest request) {
        AgentGroup group = request.group();
        for (int step = 0; step < group.size(); step++) {
            int position = Math.floorMod(mNextPosition.getAndIncrement(), group.size());
            if (request.isAllowed(group.agent(position))) {
                return Optional.of(group.agent(position));
            }
        }
        return Optional.empty();
    }

    private Optional<AgentView> leastLoaded(
            PlacementRequest request, ToDoubleFunction<AgentView> load) {
        // The starting position rotates, so that ties do not all go to the first agent by name.
        AgentGroup group = request.group();
        int start = mNextPosition.getAndIncrement();
        AgentView best = null;
        double lowestLoad = Double.POSITIVE_INFINITY;
        for (int offset = 0; offset < group.size(); offset++) {
            AgentView view = group.agent(Math.floorMod(start + offset, group.size()));
            double candidateLoad = request.isAllowed(view) ? load.applyAsDouble(view) : lowestLoad;
            if (candidateLoad < lowestLoad) {
                best = view;
                lowestLoad = candidateLoad;
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<AgentView> lessLoadedOfTwoRandom(PlacementRequest request, Instant now) {
        List<AgentView> allowed = request.group().agents();
        if (!request.excluded().isEmpty()) {
            allowed = allowed.stream().filter(request::isAllowed).toList();
        }
        if (allowed.size() < 2) {
            return allowed.stream().findFirst();
        }
        int first = mRandom.nextInt(allowed.size());
        int second = (first + 1 + mRandom.nextInt(allowed.size() - 1)) % allowed.size();
        return Optional.of(lessLoaded(allowed.get(first), allowed.get(second), now));
    }

    private Optional<AgentView> lessLoadedOfTopTwo(
            PlacementRequest request, long hash, Instant now) {
        Optional<AgentView> first = request.group().firstRanked(hash).filter(request::isAllowed);
        Optional<AgentView> second = request.group().secondRanked(hash).filter(request::isAllowed);
        if (first.isPresent() && second.isPresent()) {
            return Optional.of(lessLoaded(first.get(), second.get(), now));
        }
        return first.or(() -> second).or(() -> firstAllowedByRank(request, hash));
    }

    private AgentView lessLoaded(AgentView first, AgentView second, Instant now) {
        return adjustedLoad(second, now) < adjustedLoad(first, now) ? second : first;
    }

    private double adjustedLoad(AgentView view, Instant now) {
        double requests = 1 + mLoads.estimate(view.agent(), now);
        return requests * Math.pow(slowness(view.agent(), now), SLOWNESS_EXPONENT);
    }

    private Optional<AgentView> firstAllowedByRank(PlacementRequest request, long hash) {
        Optional<AgentView> first = request.group().firstRanked(hash).filter(request::isAllowed);
        if (first.isPresent()) {
            return first;
        }
        return request.group().ranked(hash).stream().filter(request::isAllowed).findFirst();
    }

    /** Places a request by rank or load, for when no agent made an offer. */
    PlacementStep placeWithoutOffers(PlacementRequest request, Instant now) {
        Optional<AgentView> agent =
                request.chain()
                        .filter(chain -> chain.length() > 0)
                        .flatMap(
                                chain ->
                                        firstAllowedByRank(
                                                request,
                                                mCandidateSelector.longestSharedPrefixHash(chain)))
                        .or(() -> lessLoadedOfTwoRandom(request, now));
        return sendOrRefuse(request, agent);
    }

    private PlacementStep sendOrRefuse(PlacementRequest request, Optional<AgentView> agent) {
        agent.ifPresent(view -> recordPlacement(request, view));
        return agent.map(view -> new Choice(view, Optional.empty()))
                .<PlacementStep>map(PlacementStep.Send::new)
                .orElseGet(PlacementStep.Refuse::new);
    }

    /** Records the agent that a prompt was placed on, as a hint for prompts with its prefix. */
    void recordPlacement(PlacementRequest request, AgentView agent) {
        request.chain()
                .ifPresent(chain -> mRecentPlacements.add(chain, chain.length(), agent.agent()));
    }

    /** Updates the load of an agent from the queue length in its offer. */
    void recordOffer(AgentIdentifier agent, Offer offer, Instant now) {
        mLoads.queueReported(agent, offer.queued(), now);
    }

    /** Returns the ratio of observed to predicted time of an agent; at least one. */
    double slowness(AgentIdentifier agent, Instant now) {
        return mSlownessTracker.slowness(agent, now);
    }

    /**
     * The result of {@link #begin}.
     *
     * @param round handles the offers; empty if the request was decided without asking for any
     * @param firstStep the first step for the caller to perform
     */
    public record Start(Optional<PlacementRound> round, PlacementStep firstStep) {}
}
