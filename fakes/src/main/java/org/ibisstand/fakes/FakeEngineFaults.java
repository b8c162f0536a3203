package org.ibisstand.fakes;

import java.util.Optional;

/**
 * What goes wrong in a fake engine; also read from the body of {@code POST /admin/faults}.
 *
 * @param slowFactor how many times longer all work takes
 * @param dropEveryEvent the published event of every so many that is lost; zero loses none
 * @param crashAfterTokens the engine crashes once an answer has so many tokens
 * @param silent whether running answers stop without an end
 */
public record FakeEngineFaults(
        double slowFactor, int dropEveryEvent, Optional<Integer> crashAfterTokens, boolean silent) {
    /** Returns that nothing goes wrong. */
    public static FakeEngineFaults none() {
        return new FakeEngineFaults(1, 0, Optional.empty(), false);
    }

    /** Returns that all work takes longer. */
    public static FakeEngineFaults slowedBy(double factor) {
        return new FakeEngineFaults(factor, 0, Optional.empty(), false);
    }

    /** Returns that the engine crashes in the middle of an answer. */
    public static FakeEngineFaults crashAfter(int tokens) {
        return new FakeEngineFaults(1, 0, Optional.of(tokens), false);
    }
}
