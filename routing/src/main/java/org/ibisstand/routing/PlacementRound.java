package org.ibisstand.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;

/**
 * State machine that places one request: asks candidates for offers and chooses the cheapest.
 *
 * <p>Each call returns a step for the caller to perform; the caller reports the result by another
 * call. Once {@link PlacementStep.Send} or {@link PlacementStep.Refuse} was returned, every further
 * call returns {@link PlacementStep.Wait}. Not thread-safe.
 */
public final class PlacementRound {
    private final PlacementRequest mRequest;
    private final PlacementPolicy.CheapestOffer mPolicy;
    private final OfferCost mOfferCost;
    private final List<AgentView> mCandidates;
    private final Placement mPlacement;
    private final Set<AgentIdentifier> mPendingAgents = new HashSet<>();
    private final List<Choice> mOffers = new ArrayList<>();
    private int mContactedCount;
    private int mRequestRounds;
    private int mTimeoutCount;
    private boolean mIsDone;

    PlacementRound(
            PlacementRequest request,
            PlacementPolicy.CheapestOffer policy,
            OfferCost cost,
            List<AgentView> candidates,
            Placement placement) {
        mRequest = request;
        mPolicy = policy;
        mOfferCost = cost;
        mCandidates = candidates;
        mPlacement = placement;
    }

    /** Returns the step that asks the first candidates, up to the given number. */
    PlacementStep requestInitialOffers(int count) {
        return requestOffers(Math.min(count, mCandidates.size()));
    }

    /**
     * Handles an offer. An offer of another boot than the known one is not considered.
     *
     * @param agent the agent that made the offer
     * @param boot the boot identifier that the agent sent with it
     * @param offer the agent's predictions
     * @param now when the offer was received
     */
    public PlacementStep onOffer(
            AgentIdentifier agent, BootIdentifier boot, Offer offer, Instant now) {
        mPlacement.recordOffer(agent, offer, now);
        if (mIsDone || !mPendingAgents.remove(agent)) {
            return new PlacementStep.Wait();
        }
        mRequest.group()
                .find(agent)
                .filter(view -> view.boot().equals(boot))
                .ifPresent(view -> mOffers.add(new Choice(view, Optional.of(offer))));
        return mPendingAgents.isEmpty() ? decide(now) : new PlacementStep.Wait();
    }

    /**
     * Handles an agent that declined to make an offer or could not be reached.
     *
     * @param agent the agent without an offer
     * @param now the current time
     */
    public PlacementStep onNoOffer(AgentIdentifier agent, Instant now) {
        if (mIsDone || !mPendingAgents.remove(agent) || !mPendingAgents.isEmpty()) {
            return new PlacementStep.Wait();
        }
        return decide(now);
    }

    /**
     * Handles the timeout of a {@link PlacementStep.RequestOffers}; to be called once for each of
     * them. After the last timeout, agents that have not answered are ignored.
     *
     * @param now the current time
     */
    public PlacementStep onOfferTimeout(Instant now) {
        mTimeoutCount++;
        if (mIsDone || mTimeoutCount < mRequestRounds) {
            return new PlacementStep.Wait();
        }
        mPendingAgents.clear();
        return decide(now);
    }

    private PlacementStep requestOffers(int count) {
        List<AgentView> next = mCandidates.subList(mContactedCount, mContactedCount + count);
        next.forEach(view -> mPendingAgents.add(view.agent()));
        mContactedCount += count;
        mRequestRounds++;
        return new PlacementStep.RequestOffers(next, mPolicy.offerTimeout());
    }

    private PlacementStep decide(Instant now) {
        Optional<Choice> best = cheapest(now);
        boolean needsMoreOffers = best.map(choice -> isExpensive(choice, now)).orElse(true);
        if (needsMoreOffers && mContactedCount < mCandidates.size()) {
            return requestOffers(mCandidates.size() - mContactedCount);
        }
        mIsDone = true;
        return best.map(this::send).orElseGet(() -> mPlacement.placeWithoutOffers(mRequest, now));
    }

    private PlacementStep send(Choice choice) {
        mPlacement.recordPlacement(mRequest, choice.agent());
        return new PlacementStep.Send(choice);
    }

    private Optional<Choice> cheapest(Instant now) {
        Choice best = null;
        double lowestCost = Double.POSITIVE_INFINITY;
        for (Choice choice : mOffers) {
            double cost =
                    mOfferCost.totalMilliseconds(
                            choice.offer().orElseThrow(), slowness(choice, now));
            if (best == null || cost < lowestCost) {
                best = choice;
                lowestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isExpensive(Choice choice, Instant now) {
        return mOfferCost.isExpensive(choice.offer().orElseThrow(), slowness(choice, now));
    }

    private double slowness(Choice choice, Instant now) {
        return mPlacement.slowness(choice.agent().agent(), now);
    }
}
