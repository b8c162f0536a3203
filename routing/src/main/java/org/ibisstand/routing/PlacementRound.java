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
 * Places one request: asks candidates, gathers their offers and chooses.
 *
 * <p>The caller performs each step that a call returns and reports what came of it; after {@link
 * PlacementStep.Send} or {@link PlacementStep.Reject} every further call returns {@link
 * PlacementStep.Wait}. One thread at a time may use a round.
 */
public final class PlacementRound {
    private final PlacementRequest mRequest;
    private final PlacementPolicy.CheapestOffer mPolicy;
    private final OfferCost mCost;
    private final List<AgentView> mCandidates;
    private final Placement mPlacement;
    private final Set<AgentIdentifier> mAwaited = new HashSet<>();
    private final List<Choice> mOffers = new ArrayList<>();
    private int mAsked;
    private int mQuestions;
    private int mPatienceEnds;
    private boolean mOver;

    PlacementRound(
            PlacementRequest request,
            PlacementPolicy.CheapestOffer policy,
            OfferCost cost,
            List<AgentView> candidates,
            Placement placement) {
        mRequest = request;
        mPolicy = policy;
        mCost = cost;
        mCandidates = candidates;
        mPlacement = placement;
    }

    /** Returns the first agents to ask, at most as many as given. */
    PlacementStep askFirst(int count) {
        return ask(Math.min(count, mCandidates.size()));
    }

    /**
     * Takes in an offer.
     *
     * @param agent who made it
     * @param boot the run of the agent that made it
     * @param offer what it predicts
     * @param now when it was received
     */
    public PlacementStep onOffer(
            AgentIdentifier agent, BootIdentifier boot, Offer offer, Instant now) {
        mPlacement.learn(agent, offer, now);
        if (mOver || !mAwaited.remove(agent)) {
            return new PlacementStep.Wait();
        }
        mRequest.group()
                .find(agent)
                .filter(view -> view.boot().equals(boot))
                .ifPresent(view -> mOffers.add(new Choice(view, Optional.of(offer))));
        return mAwaited.isEmpty() ? decide(now) : new PlacementStep.Wait();
    }

    /**
     * Takes in that an agent makes no offer: it refused or cannot be reached.
     *
     * @param agent who makes none
     * @param now the present
     */
    public PlacementStep onNoOffer(AgentIdentifier agent, Instant now) {
        if (mOver || !mAwaited.remove(agent) || !mAwaited.isEmpty()) {
            return new PlacementStep.Wait();
        }
        return decide(now);
    }

    /**
     * Takes in that the patience of the last {@link PlacementStep.RequestOffers} is over; agents
     * that have not answered are passed over.
     *
     * @param now the present
     */
    public PlacementStep onOfferTimeout(Instant now) {
        mPatienceEnds++;
        if (mOver || mPatienceEnds < mQuestions) {
            return new PlacementStep.Wait();
        }
        mAwaited.clear();
        return decide(now);
    }

    private PlacementStep ask(int count) {
        List<AgentView> next = mCandidates.subList(mAsked, mAsked + count);
        next.forEach(view -> mAwaited.add(view.agent()));
        mAsked += count;
        mQuestions++;
        return new PlacementStep.RequestOffers(next, mPolicy.offerTimeout());
    }

    private PlacementStep decide(Instant now) {
        Optional<Choice> best = cheapest(now);
        boolean isDear = best.map(choice -> isDear(choice, now)).orElse(true);
        if (isDear && mAsked < mCandidates.size()) {
            return ask(mCandidates.size() - mAsked);
        }
        mOver = true;
        return best.map(this::send).orElseGet(() -> mPlacement.withoutOffers(mRequest, now));
    }

    private PlacementStep send(Choice choice) {
        mPlacement.remember(mRequest, choice.agent());
        return new PlacementStep.Send(choice);
    }

    private Optional<Choice> cheapest(Instant now) {
        Choice best = null;
        double least = Double.POSITIVE_INFINITY;
        for (Choice choice : mOffers) {
            double cost = mCost.of(choice.offer().orElseThrow(), slowness(choice, now));
            if (best == null || cost < least) {
                best = choice;
                least = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isDear(Choice choice, Instant now) {
        return mCost.isDear(choice.offer().orElseThrow(), slowness(choice, now));
    }

    private double slowness(Choice choice, Instant now) {
        return mPlacement.slowness(choice.agent().agent(), now);
    }
}
