package org.ibisstand.entry;

import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.PrefixChain;
import org.ibisstand.routing.AgentView;
import org.ibisstand.routing.Choice;
import org.ibisstand.routing.Placement;
import org.ibisstand.routing.PlacementRequest;
import org.ibisstand.routing.PlacementRound;
import org.ibisstand.routing.PlacementStep;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Offer;

/** Performs the steps of one placement: asks agents for offers and reports what they answer. */
final class PlacementFlow {
    private static final Duration LATE_ANSWER = Duration.ofMillis(200);

    private final Call mCall;
    private final FlowContext mContext;
    private final EventExecutor mExecutor;
    private final Consumer<Optional<Choice>> mPlaced;
    private Optional<PlacementRound> mRound = Optional.empty();

    PlacementFlow(
            Call call,
            FlowContext context,
            EventExecutor executor,
            Consumer<Optional<Choice>> placed) {
        mCall = call;
        mContext = context;
        mExecutor = executor;
        mPlaced = placed;
    }

    void start(Set<AgentIdentifier> excluded) {
        PlacementRequest request = new PlacementRequest(mContext.group(mCall), chain(), excluded);
        Placement.Start start = mContext.placement().begin(request, mContext.now());
        mRound = start.round();
        perform(start.firstStep());
    }

    private Optional<PrefixChain> chain() {
        return switch (mCall.target()) {
            case Call.Target.Model model -> Optional.of(model.chain());
            case Call.Target.Service service -> Optional.empty();
        };
    }

    private void perform(PlacementStep step) {
        switch (step) {
            case PlacementStep.RequestOffers ask -> ask(ask);
            case PlacementStep.Wait wait -> {}
            case PlacementStep.Send send -> mPlaced.accept(Optional.of(send.choice()));
            case PlacementStep.Refuse refuse -> mPlaced.accept(Optional.empty());
        }
    }

    private void ask(PlacementStep.RequestOffers ask) {
        mExecutor.schedule(
                () -> perform(round().onOfferTimeout(mContext.now())),
                ask.offerTimeout().toMillis(),
                TimeUnit.MILLISECONDS);
        // All are asked before the first answer can decide the round.
        ask.agents().forEach(agent -> mExecutor.execute(() -> ask(agent)));
    }

    private void ask(AgentView agent) {
        Optional<WireConnection> connection = mContext.connections().find(agent.agent());
        if (connection.isEmpty()) {
            perform(round().onNoOffer(agent.agent(), mContext.now()));
            return;
        }
        Frame.Builder request =
                Frame.newBuilder().setOfferRequest(Submits.offerRequest(mCall, mContext.now()));
        connection
                .get()
                .call(request, LATE_ANSWER)
                .whenCompleteAsync((frame, failure) -> offered(agent, frame, failure), mExecutor);
    }

    private void offered(AgentView agent, Frame frame, Throwable failure) {
        if (failure == null && frame.hasOffer()) {
            BootIdentifier boot = new BootIdentifier(frame.getOffer().getBoot());
            org.ibisstand.routing.Offer offer = read(frame.getOffer());
            perform(round().onOffer(agent.agent(), boot, offer, mContext.now()));
        } else {
            perform(round().onNoOffer(agent.agent(), mContext.now()));
        }
    }

    private PlacementRound round() {
        return mRound.orElseThrow();
    }

    private static org.ibisstand.routing.Offer read(Offer offer) {
        return new org.ibisstand.routing.Offer(
                offer.getHeldPieces(),
                offer.getWaitMilliseconds(),
                offer.getFirstTokenMilliseconds(),
                offer.getBytesPerMillisecond(),
                offer.getQueued(),
                offer.getCostOnOthersMilliseconds());
    }
}
