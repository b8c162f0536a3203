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
import org.ibisstand.control.OrderSimulation.ClaimStore;
import org.ibisstand.control.OrderSimulation.Fault;
import org.ibisstand.control.OrderSimulation.InjectedFault;
import org.ibisstand.control.OrderSimulation.SendResult;
import org.ibisstand.control.OrderSimulation.Step;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.ClaimReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class OrderFaultsTest {
    /** The claim store of control, which a restart restores from its snapshot. */
    private static class DurableStore implements ClaimStore {
        private ControlState mState = ControlState.empty();

        @Override
        public CommandResult apply(Command command) {
            return mState.apply(command);
        }

        @Override
        public void restart() {
            mState = TestCommands.restoreFromSnapshot(mState);
        }
    }

    /** A faulty store that loses all claims in a restart. */
    private static final class VolatileStore extends DurableStore {
        @Override
        public void restart() {
            super.mState = ControlState.empty();
        }
    }

    /** A faulty store that lets a resend take over an attempt that has no outcome yet. */
    private static final class EarlyTakeoverStore extends DurableStore {
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

    static Stream<InjectedFault> injectedFaults() {
        return Arrays.stream(Step.values())
                .flatMap(
                        step ->
                                Arrays.stream(Fault.values())
                                        .map(fault -> new InjectedFault(step, fault)));
    }

    private static List<Optional<InjectedFault>> noFaultOrOne() {
        List<Optional<InjectedFault>> faults = new ArrayList<>();
        faults.add(Optional.empty());
        injectedFaults().map(Optional::of).forEach(faults::add);
        return faults;
    }

    private static OrderSimulation simulate(
            ClaimStore store, List<Optional<InjectedFault>> faults) {
        OrderSimulation simulation = new OrderSimulation(store);
        faults.forEach(simulation::send);
        simulation.resumeFrozenProcesses();
        simulation.send(Optional.empty());
        return simulation;
    }

    @ParameterizedTest
    @MethodSource("injectedFaults")
    void anOrderRunsAtMostOnceUnderOneAndTwoFaults(InjectedFault first) {
        for (Optional<InjectedFault> second : noFaultOrOne()) {
            OrderSimulation simulation =
                    simulate(new DurableStore(), List.of(Optional.of(first), second));
            assertWithMessage("after %s and %s", first, second)
                    .that(simulation.runAttempts().size())
                    .isAtMost(1);
        }
    }

    @ParameterizedTest
    @MethodSource("injectedFaults")
    void anOrderRunsAtMostOnceUnderThreeFaults(InjectedFault first) {
        for (Optional<InjectedFault> second : noFaultOrOne()) {
            for (Optional<InjectedFault> third : noFaultOrOne()) {
                List<Optional<InjectedFault>> faults = List.of(Optional.of(first), second, third);
                assertWithMessage("after %s", faults)
                        .that(simulate(new DurableStore(), faults).runAttempts().size())
                        .isAtMost(1);
            }
        }
    }

    @ParameterizedTest
    @MethodSource("injectedFaults")
    void whatWasSaidNotToRunNeverRuns(InjectedFault first) {
        for (Optional<InjectedFault> second : noFaultOrOne()) {
            OrderSimulation simulation =
                    simulate(new DurableStore(), List.of(Optional.of(first), second));
            Set<AttemptIdentifier> refusedButRun = new HashSet<>(simulation.runAttempts());
            refusedButRun.retainAll(simulation.refusedAttempts());
            assertWithMessage("after %s and %s", first, second).that(refusedButRun).isEmpty();
        }
    }

    @ParameterizedTest
    @MethodSource("injectedFaults")
    void aResendGetsTheAnswerUnlessTheFaultLostIt(InjectedFault injectedFault) {
        OrderSimulation simulation = new OrderSimulation(new DurableStore());
        simulation.send(Optional.of(injectedFault));
        simulation.resumeFrozenProcesses();
        SendResult resendResult = simulation.send(Optional.empty());
        boolean isAnswerLost =
                switch (injectedFault.fault()) {
                    case AGENT_KILLED -> injectedFault.step() != Step.AFTER_RECORD;
                    case ANSWER_LOST -> injectedFault.step() == Step.AFTER_RUN;
                    default -> false;
                };
        assertThat(resendResult)
                .isEqualTo(isAnswerLost ? SendResult.MAY_HAVE_RUN : SendResult.COMPLETED);
    }

    @Test
    void anOrderRunsTwiceIfClaimsAreOnlyKeptInMemory() {
        InjectedFault controlRestart =
                new InjectedFault(Step.BEFORE_CLAIM, Fault.CONTROL_RESTARTED);
        OrderSimulation simulation =
                simulate(
                        new VolatileStore(),
                        List.of(Optional.empty(), Optional.of(controlRestart)));
        assertThat(simulation.runAttempts()).hasSize(2);
    }

    @Test
    void anOrderRunsTwiceIfAResendTakesOverAnUnfinishedAttempt() {
        InjectedFault frozenProcess = new InjectedFault(Step.WHILE_WRITTEN, Fault.PROCESS_FROZEN);
        OrderSimulation simulation =
                simulate(
                        new EarlyTakeoverStore(),
                        List.of(Optional.of(frozenProcess), Optional.empty()));
        assertThat(simulation.runAttempts()).hasSize(2);
    }
}
