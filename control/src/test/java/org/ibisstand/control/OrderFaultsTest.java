package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.ibisstand.control.OrderWorld.ClaimStore;
import org.ibisstand.control.OrderWorld.Fault;
import org.ibisstand.control.OrderWorld.Step;
import org.ibisstand.control.OrderWorld.Told;
import org.ibisstand.control.OrderWorld.Trouble;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.ClaimReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class OrderFaultsTest {
    /** The store of control, which a restart brings back from its snapshot. */
    private static class DurableStore implements ClaimStore {
        private ControlState mState = ControlState.empty();

        @Override
        public CommandResult apply(Command command) {
            return mState.apply(command);
        }

        @Override
        public void restart() {
            mState = Commands.restarted(mState);
        }
    }

    /** Keeps claims in memory alone. */
    private static final class ForgetfulStore extends DurableStore {
        @Override
        public void restart() {
            super.mState = ControlState.empty();
        }
    }

    /** Lets a resend take over from an attempt that has no outcome yet. */
    private static final class ImpatientStore extends DurableStore {
        @Override
        public CommandResult apply(Command command) {
            CommandResult result = super.apply(command);
            if (result.getClaim().getResult() != ClaimReply.Result.BOUND) {
                return result;
            }
            Command.Builder takeOver = command.toBuilder();
            takeOver.getMakeClaimBuilder()
                    .getClaimBuilder()
                    .setTombstoned(result.getClaim().getAttempt());
            return super.apply(takeOver.build());
        }
    }

    static Stream<Trouble> troubles() {
        return Arrays.stream(Step.values())
                .flatMap(
                        step ->
                                Arrays.stream(Fault.values())
                                        .map(fault -> new Trouble(step, fault)));
    }

    private static List<Optional<Trouble>> noneOrOne() {
        List<Optional<Trouble>> troubles = new ArrayList<>();
        troubles.add(Optional.empty());
        troubles().map(Optional::of).forEach(troubles::add);
        return troubles;
    }

    private static OrderWorld play(ClaimStore store, List<Optional<Trouble>> troubles) {
        OrderWorld world = new OrderWorld(store);
        troubles.forEach(world::send);
        world.thaw();
        world.send(Optional.empty());
        return world;
    }

    @ParameterizedTest
    @MethodSource("troubles")
    void anOrderRunsAtMostOnceUnderOneAndTwoFaults(Trouble first) {
        for (Optional<Trouble> second : noneOrOne()) {
            OrderWorld world = play(new DurableStore(), List.of(Optional.of(first), second));
            assertWithMessage("after %s and %s", first, second)
                    .that(world.runs().size())
                    .isAtMost(1);
        }
    }

    @ParameterizedTest
    @MethodSource("troubles")
    void anOrderRunsAtMostOnceUnderThreeFaults(Trouble first) {
        for (Optional<Trouble> second : noneOrOne()) {
            for (Optional<Trouble> third : noneOrOne()) {
                List<Optional<Trouble>> troubles = List.of(Optional.of(first), second, third);
                assertWithMessage("after %s", troubles)
                        .that(play(new DurableStore(), troubles).runs().size())
                        .isAtMost(1);
            }
        }
    }

    @ParameterizedTest
    @MethodSource("troubles")
    void whatWasSaidNotToRunNeverRuns(Trouble first) {
        for (Optional<Trouble> second : noneOrOne()) {
            OrderWorld world = play(new DurableStore(), List.of(Optional.of(first), second));
            Set<AttemptIdentifier> ran = new HashSet<>(world.runs());
            ran.retainAll(world.toldNotRun());
            assertWithMessage("after %s and %s", first, second).that(ran).isEmpty();
        }
    }

    @ParameterizedTest
    @MethodSource("troubles")
    void aResendGetsTheAnswerUnlessTheFaultTookIt(Trouble trouble) {
        OrderWorld world = new OrderWorld(new DurableStore());
        world.send(Optional.of(trouble));
        world.thaw();
        Told told = world.send(Optional.empty());
        boolean lost =
                switch (trouble.fault()) {
                    case AGENT_KILLED -> trouble.step() != Step.AFTER_RECORD;
                    case ANSWER_LOST -> trouble.step() == Step.AFTER_RUN;
                    default -> false;
                };
        assertThat(told).isEqualTo(lost ? Told.MAY_HAVE_RUN : Told.COMPLETED);
    }

    @Test
    void aStoreInMemoryRunsOrdersTwice() {
        Trouble restarted = new Trouble(Step.BEFORE_CLAIM, Fault.CONTROL_RESTARTED);
        OrderWorld world =
                play(new ForgetfulStore(), List.of(Optional.empty(), Optional.of(restarted)));
        assertThat(world.runs()).hasSize(2);
    }

    @Test
    void aStoreThatLetsResendsTakeOverRunsOrdersTwice() {
        Trouble frozen = new Trouble(Step.WHILE_WRITTEN, Fault.PROCESS_FROZEN);
        OrderWorld world =
                play(new ImpatientStore(), List.of(Optional.of(frozen), Optional.empty()));
        assertThat(world.runs()).hasSize(2);
    }
}
