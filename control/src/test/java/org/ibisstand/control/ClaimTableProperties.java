package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.ibisstand.control.message.ClaimLimits;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.control.message.Refusal;
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.Claim;

class ClaimTableProperties {
    private static final int KEY_COUNT = 16;
    private static final int FIRST_KEY_WITH_TIMESTAMP = 7;
    private static final long KEY_SPACING_MILLISECONDS = 3_000;
    private static final long START_MILLISECONDS = 1_000_000;

    /** An input that the claim table and its reference model both process. */
    private sealed interface Step {
        record MakeClaim(
                int key,
                int body,
                int agent,
                AttemptIdentifier tombstonedAttempt,
                long retentionMilliseconds)
                implements Step {}

        record FinishClaim(AttemptIdentifier attempt, int agent, int status, int bodyBytes)
                implements Step {}

        record AdvanceClock(long milliseconds) implements Step {}

        record Restart() implements Step {}
    }

    @Property(seed = "1")
    void answersAsAModelThatKeepsEveryClaim(@ForAll("schedules") List<Step> steps) {
        ControlState state = ControlState.empty();
        ReferenceClaimTable reference = new ReferenceClaimTable();
        long nowMilliseconds = START_MILLISECONDS;
        for (Step step : steps) {
            switch (step) {
                case Step.AdvanceClock advance -> nowMilliseconds += advance.milliseconds();
                case Step.Restart restart -> state = TestCommands.restoreFromSnapshot(state);
                case Step.MakeClaim make -> {
                    Command command = toCommand(make, nowMilliseconds);
                    CommandResult expected =
                            reference.claim(command.getMakeClaim(), nowMilliseconds);
                    assertThat(withoutMessage(state.apply(command))).isEqualTo(expected);
                }
                case Step.FinishClaim finish -> {
                    Command command = toCommand(finish, nowMilliseconds);
                    CommandResult expected = reference.finish(command.getFinishClaim());
                    assertThat(state.apply(command)).isEqualTo(expected);
                }
            }
            assertThat(TestCommands.restoreFromSnapshot(state).snapshot())
                    .isEqualTo(state.snapshot());
        }
    }

    @Property(seed = "1", tries = 200)
    void retainedClaimsAndAnswersStayWithinTheLimits(@ForAll("schedules") List<Step> steps) {
        ControlState state = ControlState.empty();
        long nowMilliseconds = START_MILLISECONDS;
        long lowWaterMilliseconds = 0;
        for (Step step : steps) {
            switch (step) {
                case Step.AdvanceClock advance -> nowMilliseconds += advance.milliseconds();
                case Step.Restart restart -> state = TestCommands.restoreFromSnapshot(state);
                case Step.MakeClaim make -> state.apply(toCommand(make, nowMilliseconds));
                case Step.FinishClaim finish -> state.apply(toCommand(finish, nowMilliseconds));
            }
            assertThat((long) state.claims().size())
                    .isAtMost(TestCommands.LIMITS.getMaximumClaims());
            assertThat(state.claims().keptAnswerBytes())
                    .isAtMost(TestCommands.MAXIMUM_KEPT_ANSWER_BYTES);
            assertThat(state.claims().lowWaterMilliseconds()).isAtLeast(lowWaterMilliseconds);
            lowWaterMilliseconds = state.claims().lowWaterMilliseconds();
        }
    }

    private static Command toCommand(Step.MakeClaim make, long nowMilliseconds) {
        Claim claim = claim(make.key(), "body" + make.body(), make.agent());
        if (make.tombstonedAttempt().getClaim() > 0) {
            claim = TestCommands.takeOverClaim(claim, make.tombstonedAttempt());
        }
        ClaimLimits limits =
                TestCommands.LIMITS.toBuilder()
                        .setRetentionMilliseconds(make.retentionMilliseconds())
                        .build();
        return TestCommands.makeClaim(nowMilliseconds, claim, limits);
    }

    private static Command toCommand(Step.FinishClaim finish, long nowMilliseconds) {
        return TestCommands.finishClaim(
                nowMilliseconds,
                finish.attempt(),
                claim(0, "", finish.agent()),
                TestCommands.outcome(finish.status(), finish.bodyBytes()));
    }

    private static Claim claim(int key, String body, int agent) {
        return TestCommands.claim(keyForNumber(key), body, "agent" + agent % 2, agent);
    }

    private static String keyForNumber(int key) {
        if (key < FIRST_KEY_WITH_TIMESTAMP) {
            return "key" + key;
        }
        long keyMilliseconds =
                START_MILLISECONDS + (key - FIRST_KEY_WITH_TIMESTAMP) * KEY_SPACING_MILLISECONDS;
        return TestCommands.keyWithTimestamp(keyMilliseconds, key);
    }

    private static CommandResult withoutMessage(CommandResult result) {
        if (!result.hasRefusal()) {
            return result;
        }
        Refusal refusal = result.getRefusal().toBuilder().clearMessage().build();
        return CommandResult.newBuilder().setRefusal(refusal).build();
    }

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Integer> agents = Arbitraries.integers().between(1, 3);
        Arbitrary<Long> retentions =
                Arbitraries.of(
                        TestCommands.RETENTION_MILLISECONDS,
                        TestCommands.RETENTION_MILLISECONDS,
                        TestCommands.RETENTION_MILLISECONDS / 2);
        Arbitrary<Step> makes =
                Combinators.combine(
                                Arbitraries.integers().between(0, KEY_COUNT - 1),
                                Arbitraries.frequency(Tuple.of(9, 0), Tuple.of(1, 1)),
                                agents,
                                attempts(),
                                retentions)
                        .as(Step.MakeClaim::new);
        Arbitrary<Step> finishes =
                Combinators.combine(
                                attempts(),
                                agents,
                                Arbitraries.of(200, 500),
                                Arbitraries.of(0, 30, 60, 150))
                        .as(Step.FinishClaim::new);
        Arbitrary<Step> advances =
                Arbitraries.of(1L, 700L, 3_000L, 9_000L).map(Step.AdvanceClock::new);
        return Arbitraries.frequencyOf(
                        Tuple.of(6, makes),
                        Tuple.of(4, finishes),
                        Tuple.of(3, advances),
                        Tuple.of(1, Arbitraries.just(new Step.Restart())))
                .list()
                .ofMaxSize(80);
    }

    private static Arbitrary<AttemptIdentifier> attempts() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 4), Arbitraries.integers().between(1, 2))
                .as(
                        (claim, epoch) ->
                                AttemptIdentifier.newBuilder()
                                        .setClaim(claim)
                                        .setEpoch(epoch)
                                        .build());
    }
}
