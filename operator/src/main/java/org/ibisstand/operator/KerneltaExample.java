package org.ibisstand.operator;

import java.time.Duration;
import java.util.List;

/**
 * A documented example: a buying platform whose weight lies on the time to first token at the close
 * of auctions.
 *
 * <p>Lot summaries go before contract reviews, and every order call but reads of stock runs at most
 * once. The tokens are examples; put the digests of your own in their place.
 */
public final class KerneltaExample {
    private static final List<String> LARGE_TEAMS = List.of("auctions", "contracts");
    private static final List<String> SMALL_TEAMS =
            List.of("growers", "logistics", "quality", "finance", "planning", "support");
    private static final int PIECE_BYTES = 8192;

    private KerneltaExample() {}

    /** Returns the builder of the example, to be printed or changed. */
    public static ConfigurationBuilder configuration() {
        ConfigurationBuilder builder = ConfigurationBuilder.create();
        addClasses(builder);
        addServed(builder);
        LARGE_TEAMS.forEach(name -> builder.team(name, team -> large(name, team)));
        SMALL_TEAMS.forEach(name -> builder.team(name, team -> small(name, team)));
        return builder;
    }

    private static void addClasses(ConfigurationBuilder builder) {
        builder.priorityClass(
                "call",
                one ->
                        one.rank(0)
                                .firstToken(Duration.ofMillis(500))
                                .deadline(Duration.ofSeconds(10)));
        builder.priorityClass(
                "order",
                one ->
                        one.rank(1)
                                .firstToken(Duration.ofMillis(300))
                                .deadline(Duration.ofSeconds(15)));
        builder.priorityClass(
                "review",
                one ->
                        one.rank(2)
                                .firstToken(Duration.ofSeconds(2))
                                .deadline(Duration.ofMinutes(5)));
    }

    private static void addServed(ConfigurationBuilder builder) {
        builder.model(
                "lot-summary",
                model ->
                        model.weightsVersion("2026-11")
                                .priorityClass("call")
                                .pieceBytes(PIECE_BYTES));
        builder.model(
                "contract-review",
                model ->
                        model.weightsVersion("2026-11")
                                .priorityClass("review")
                                .pieceBytes(PIECE_BYTES));
        builder.service(
                "orders",
                service ->
                        service.priorityClass("order")
                                .idempotent("GET", "/stock")
                                .nonIdempotent("*", "/"));
    }

    private static void large(String name, TeamBuilder team) {
        small(name, team);
        team.weight(4).concurrentRequests(400).requestsPerSecond(100);
    }

    private static void small(String name, TeamBuilder team) {
        team.token("example-token-of-" + name)
                .model("lot-summary")
                .model("contract-review")
                .service("orders");
    }
}
