package org.ibisstand.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.ibisstand.routing.PlacementPolicy;
import org.ibisstand.routing.QueuePolicy;

/** A way to route that is measured against the others on the same load. */
sealed interface Contender {
    /** Returns the name in reports. */
    String name();

    /**
     * The product, or the product without one of its mechanisms.
     *
     * @param placement how entries choose agents
     * @param engine the queue of an engine's agent
     * @param service the queue of a plain service's agent
     * @param hedges whether late short work gets a second attempt
     */
    record Product(
            String name,
            PlacementPolicy placement,
            QueuePolicy engine,
            QueuePolicy service,
            boolean hedges)
            implements Contender {
        private Product with(String newName, PlacementPolicy other) {
            return new Product(newName, other, engine, service, hedges);
        }

        private Product with(String newName, QueuePolicy other) {
            return new Product(newName, placement, other, service, hedges);
        }
    }

    /** A placement that sends everything to the engines at once, in the order of arrival. */
    record Naive(String name, PlacementPolicy placement) implements Contender {}

    /**
     * Sees the true cache, queue and speed of every server at no cost, over the product's queue.
     *
     * @param recomputeWeight how often a millisecond of recomputation counts
     */
    record Clairvoyant(String name, double recomputeWeight) implements Contender {}

    /** Returns the product as it ships. */
    static Product product() {
        return new Product(
                "ibisstand",
                PlacementPolicy.standard(),
                QueuePolicy.PriorityFairQueueing.forEngine(EngineModel.SEQUENCES),
                QueuePolicy.PriorityFairQueueing.forService(ServiceModel.WORKERS),
                true);
    }

    /** Returns what an operator would otherwise run. */
    static List<Contender> naive() {
        return List.of(
                new Naive("round robin", new PlacementPolicy.RoundRobin()),
                new Naive("least outstanding", new PlacementPolicy.LeastOutstanding()),
                new Naive("two choices", new PlacementPolicy.PowerOfTwoChoices()),
                new Naive("prefix hash", new PlacementPolicy.PrefixHash()));
    }

    /** Returns the yardsticks, of which the best counts. */
    static List<Contender> clairvoyant() {
        return List.of(
                new Clairvoyant("clairvoyant 1", 1),
                new Clairvoyant("clairvoyant 2", 2),
                new Clairvoyant("clairvoyant 4", 4));
    }

    /** Returns all that are measured, the product first. */
    static List<Contender> all() {
        List<Contender> all = new ArrayList<>();
        all.add(product());
        all.addAll(naive());
        all.addAll(clairvoyant());
        return all;
    }

    /** Returns the product and the product without each of its mechanisms. */
    static List<Contender> ablations() {
        Product whole = product();
        QueuePolicy.PriorityFairQueueing queue =
                QueuePolicy.PriorityFairQueueing.forEngine(EngineModel.SEQUENCES);
        return List.of(
                whole,
                whole.with(
                        "without agent queue",
                        new QueuePolicy.FirstComeFirstServed(Integer.MAX_VALUE)),
                whole.with("without early refusal", queue.withEarlyRefusal(false)),
                whole.with("without short before long", queue.withLongThreshold(Double.MAX_VALUE)),
                whole.with("without ageing", queue.withAgeingInterval(Duration.ofDays(1))),
                whole.with("without prefill bound", queue.withPrefillBound(Double.MAX_VALUE)),
                new Product("without hedging", whole.placement(), queue, whole.service(), false),
                whole.with("lighter of two ranks", new PlacementPolicy.LessLoadedOfTopTwo()),
                whole.with("least outstanding, queue", new PlacementPolicy.LeastOutstanding()));
    }
}
