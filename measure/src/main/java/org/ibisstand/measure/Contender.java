package org.ibisstand.measure;

import java.util.ArrayList;
import java.util.List;
import org.ibisstand.routing.PlacementPolicy;
import org.ibisstand.routing.QueuePolicy;

/** A way to route that is measured against the others on the same load. */
sealed interface Contender {
    /** Returns the name in reports. */
    String name();

    /** The product: placement by the policy, and the agents' own queue. */
    record Product(String name, PlacementPolicy placement, QueuePolicy engine, QueuePolicy service)
            implements Contender {}

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
                QueuePolicy.SharedByClass.forEngine(EngineModel.SEQUENCES),
                QueuePolicy.SharedByClass.forService(ServiceModel.WORKERS));
    }

    /** Returns what an operator would otherwise run. */
    static List<Contender> naive() {
        return List.of(
                new Naive("round robin", new PlacementPolicy.RoundRobin()),
                new Naive("least outstanding", new PlacementPolicy.LeastOutstanding()),
                new Naive("two choices", new PlacementPolicy.TwoChoices()),
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
}
