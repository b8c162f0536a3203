package org.ibisstand.operator;

import java.time.Duration;
import java.util.List;

/**
 * A documented example: tools for swimming schools whose weight lies on short questions beside long
 * handbook reads.
 *
 * <p>Questions and desk lookups go before handbook reads; payments and lane bookings run at most
 * once, and reads of rosters may be repeated. The tokens are examples; put the digests of your own
 * in their place.
 */
public final class KekhullamExample {
    private static final List<String> LARGE_TEAMS = List.of("budapest", "debrecen");
    private static final List<String> SMALL_TEAMS =
            List.of("szeged", "pecs", "gyor", "eger", "sopron", "vac");
    private static final int PIECE_BYTES = 8192;

    private KekhullamExample() {}

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
                "desk",
                one ->
                        one.rank(0)
                                .firstToken(Duration.ofMillis(300))
                                .deadline(Duration.ofSeconds(10)));
        builder.priorityClass(
                "question",
                one ->
                        one.rank(1)
                                .firstToken(Duration.ofSeconds(1))
                                .deadline(Duration.ofSeconds(20)));
        builder.priorityClass(
                "handbook",
                one ->
                        one.rank(2)
                                .firstToken(Duration.ofSeconds(3))
                                .deadline(Duration.ofMinutes(5)));
    }

    private static void addServed(ConfigurationBuilder builder) {
        builder.model(
                "parent-questions",
                model ->
                        model.weightsVersion("5")
                                .priorityClass("question")
                                .pieceBytes(PIECE_BYTES));
        builder.model(
                "cap-colour",
                model ->
                        model.weightsVersion("5")
                                .priorityClass("handbook")
                                .pieceBytes(PIECE_BYTES));
        builder.service(
                "desk",
                service ->
                        service.priorityClass("desk")
                                .idempotent("GET", "/rosters")
                                .idempotent("GET", "/lanes")
                                .nonIdempotent("*", "/"));
    }

    private static void large(String name, TeamBuilder team) {
        small(name, team);
        team.weight(3).concurrentRequests(300).requestsPerSecond(80);
    }

    private static void small(String name, TeamBuilder team) {
        team.token("example-token-of-" + name)
                .model("parent-questions")
                .model("cap-colour")
                .service("desk");
    }
}
