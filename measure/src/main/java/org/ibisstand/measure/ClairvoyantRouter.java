package org.ibisstand.measure;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import org.ibisstand.base.Verdict;
import org.ibisstand.routing.Offer;
import org.ibisstand.routing.RequestProfile;
import org.ibisstand.routing.WorkItem;

/** Chooses with the true state of every server, without any delay. */
final class ClairvoyantRouter implements Router {
    private final Simulation mSimulation;
    private final Cluster mCluster;
    private final double mRecomputeWeight;
    private long mNextAttempt = 1;

    ClairvoyantRouter(Simulation simulation, Cluster cluster, double recomputeWeight) {
        mSimulation = simulation;
        mCluster = cluster;
        mRecomputeWeight = recomputeWeight;
    }

    @Override
    public void handle(Outcome outcome) {
        Request request = outcome.request();
        List<AgentModel> agents =
                request.kind().isModel() ? mCluster.engineAgents() : mCluster.serviceAgents();
        Instant deadline =
                Instant.EPOCH.plusNanos((long) ((request.arrival() + request.deadline()) * 1e6));
        RequestProfile question =
                new RequestProfile(
                        request.team(), request.kind().rank(), request.chain(), deadline);
        AgentModel best =
                agents.stream()
                        .min(Comparator.comparingDouble(agent -> cost(agent, question)))
                        .orElseThrow();
        long identifier = mNextAttempt++;
        mSimulation.after(
                Outcome.PATIENCE_MILLISECONDS,
                () -> {
                    if (!outcome.answered()) {
                        best.cancel(identifier);
                    }
                });
        best.submit(new WorkItem(identifier, question), request.tokens(), listener(outcome));
    }

    private double cost(AgentModel agent, RequestProfile question) {
        Offer offer = agent.offer(question);
        double slowness = agent.backend().slowness();
        if (question.chain().promptBytes() == 0) {
            return (1 + agent.load()) * slowness;
        }
        double rate = EngineModel.BYTES_PER_MILLISECOND / slowness;
        double wait = offer.waitMilliseconds() * offer.bytesPerMillisecond() / rate;
        double held = (double) offer.cachedPieces() * question.chain().pieceBytes();
        double recompute = (question.chain().promptBytes() - held) / rate;
        return wait + mRecomputeWeight * recompute;
    }

    private AgentModel.Listener listener(Outcome outcome) {
        return new AgentModel.Listener() {
            @Override
            public void onFirstToken() {
                outcome.onFirstToken(mSimulation.now());
            }

            @Override
            public void onFinished(int cachedPieces) {
                outcome.onFinished(cachedPieces);
            }

            @Override
            public void onRefused(Verdict.NotRun verdict) {
                outcome.onRefused();
            }
        };
    }
}
