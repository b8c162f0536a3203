package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a group that can never form a majority again although it lost no more disks than
 * it tolerates. Searches small groups exhaustively: every order of machines that go dark, return,
 * lose their disks, are replaced and are stopped as planned, between any two steps of the policy,
 * which may learn of a silence early, late or never.
 *
 * <p>A lost disk counts against the tolerated losses until its machine has its vote again. A
 * machine that is gone for good counts until the group is whole without it, since nothing
 * distinguishes it before from one that will return. One that is stopped as planned counts for
 * nothing if the group is whole without it.
 */
class VoterPolicySearchTest {
    private static final Duration CONTACT_TIMEOUT = Duration.ofMillis(800);
    private static final Duration REMOVAL_SILENCE = Duration.ofSeconds(2);
    private static final long COMMITTED = 100;
    private static final int MAXIMUM_LOST_DISKS = 10;

    private static final VoterPolicy POLICY =
            new VoterPolicy(CONTACT_TIMEOUT, Optional.of(REMOVAL_SILENCE));

    private enum Power {
        UP,
        DARK,
        GONE,
        NOT_STARTED
    }

    private enum Role {
        OUTSIDE,
        LEARNER,
        VOTER
    }

    /** Silences that the policy tells apart; the longest comes before another removable one. */
    private static final List<Duration> SILENCES =
            List.of(
                    Duration.ZERO,
                    CONTACT_TIMEOUT.plusMillis(1),
                    REMOVAL_SILENCE,
                    REMOVAL_SILENCE.plusSeconds(1));

    /**
     * One machine of the group.
     *
     * @param power whether it runs
     * @param role the role of the member on its present disk
     * @param lostVotes how many of its disks that were lost still have a vote
     * @param countsAsLost whether a loss of it still counts against the tolerated losses
     */
    private record Machine(Power power, Role role, int lostVotes, boolean countsAsLost) {
        static final Machine FIRST = new Machine(Power.UP, Role.VOTER, 0, false);
        static final Machine SPARE = new Machine(Power.NOT_STARTED, Role.OUTSIDE, 0, false);

        Machine with(Power changed) {
            return new Machine(changed, role, lostVotes, countsAsLost);
        }

        Machine wiped() {
            return new Machine(Power.DARK, Role.OUTSIDE, votes(), true);
        }

        Machine gone() {
            return new Machine(Power.GONE, role, lostVotes, true);
        }

        Machine departed(Power changed) {
            return new Machine(changed, Role.OUTSIDE, lostVotes, countsAsLost);
        }

        Machine withRole(Role changed) {
            return new Machine(power, changed, lostVotes, countsAsLost);
        }

        Machine withoutLostVote() {
            return new Machine(power, role, lostVotes - 1, countsAsLost);
        }

        Machine restored() {
            return new Machine(power, role, lostVotes, false);
        }

        boolean isVoting() {
            return power == Power.UP && role == Role.VOTER;
        }

        boolean keepsVote() {
            return power != Power.GONE && role == Role.VOTER;
        }

        int votes() {
            return (role == Role.VOTER ? 1 : 0) + lostVotes;
        }

        int rank() {
            int rank = power.ordinal();
            rank = rank * Role.values().length + role.ordinal();
            rank = rank * 2 + (countsAsLost ? 1 : 0);
            return rank * MAXIMUM_LOST_DISKS + lostVotes;
        }
    }

    /** The machines of a group, which are alike, so that their order does not matter. */
    private record Group(List<Machine> machines, int established) {
        Group {
            machines = machines.stream().sorted(Comparator.comparing(Machine::rank)).toList();
        }

        Group with(int index, Function<Machine, Machine> change) {
            List<Machine> changed = new ArrayList<>(machines);
            changed.set(index, change.apply(changed.get(index)));
            return new Group(changed, established);
        }

        int voters() {
            return machines.stream().mapToInt(Machine::votes).sum();
        }

        boolean mayLoseDisk() {
            long losses = machines.stream().filter(Machine::countsAsLost).count();
            return losses < (established - 1) / 2;
        }

        /** Returns whether a majority can be formed once all that can return are back. */
        boolean isRecoverable() {
            return machines.stream().filter(Machine::keepsVote).count() > voters() / 2;
        }

        boolean hasMajority() {
            return machines.stream().filter(Machine::isVoting).count() > voters() / 2;
        }

        /** Returns whether the group has as many members as it was set up with, all of them up. */
        boolean isWhole() {
            return !has(Power.DARK)
                    && machines.stream().filter(Machine::isVoting).count() >= established;
        }

        boolean has(Power power) {
            return machines.stream().anyMatch(machine -> machine.power() == power);
        }
    }

    @ParameterizedTest
    @CsvSource({"3, 0", "3, 1", "3, 2", "4, 1", "5, 0", "5, 1", "6, 0", "6, 1", "7, 0"})
    void aMajorityCanAlwaysBeFormedAgain(int established, int spares) {
        List<Machine> machines = new ArrayList<>();
        for (int number = 0; number < established + spares; number++) {
            machines.add(number < established ? Machine.FIRST : Machine.SPARE);
        }
        Group start = new Group(machines, established);
        Map<Group, Group> before = new HashMap<>();
        Deque<Group> open = new ArrayDeque<>(List.of(start));
        before.put(start, start);
        while (!open.isEmpty()) {
            Group group = open.remove();
            assertWithMessage("no majority can be formed:%s", trace(group, before))
                    .that(group.isRecoverable())
                    .isTrue();
            for (Group next : successors(group)) {
                if (before.putIfAbsent(next, group) == null) {
                    open.add(next);
                }
            }
        }
    }

    private static Set<Group> successors(Group group) {
        Set<Group> next = new HashSet<>();
        for (int index = 0; index < group.machines().size(); index++) {
            addEvents(group, index, next);
        }
        if (group.hasMajority()) {
            addChanges(group, next);
        }
        return next;
    }

    /** Adds what may happen to one machine. */
    private static void addEvents(Group group, int index, Set<Group> next) {
        Machine machine = group.machines().get(index);
        boolean runsOrReturns = machine.power() == Power.UP || machine.power() == Power.DARK;
        if (runsOrReturns && (machine.countsAsLost() || group.mayLoseDisk())) {
            next.add(group.with(index, Machine::wiped));
            if (group.has(Power.NOT_STARTED)) {
                next.add(group.with(index, Machine::gone));
            }
        }
        switch (machine.power()) {
            case UP -> next.add(group.with(index, up -> up.with(Power.DARK)));
            case DARK, NOT_STARTED -> next.add(group.with(index, off -> off.with(Power.UP)));
            case GONE -> {}
        }
        boolean isBack = machine.isVoting() && machine.lostVotes() == 0;
        boolean isReplaced =
                machine.power() == Power.GONE && machine.votes() == 0 && group.isWhole();
        if (isBack || isReplaced) {
            next.add(group.with(index, Machine::restored));
        }
    }

    /** Adds what a leader may change next, whatever it knows of the silent members. */
    private static void addChanges(Group group, Set<Group> next) {
        for (int index = 0; index < group.machines().size(); index++) {
            Machine machine = group.machines().get(index);
            if (machine.power() == Power.UP && machine.role() == Role.OUTSIDE) {
                next.add(group.with(index, joining -> joining.withRole(Role.LEARNER)));
            }
        }
        silences(group, 0)
                .forEach(
                        silences ->
                                POLICY.nextChange(status(group, silences), Set.of())
                                        .ifPresent(change -> next.add(applied(group, change))));
        for (int index = 0; index < group.machines().size(); index++) {
            addDeparture(group, index, next);
        }
    }

    /** Adds a planned stop of a machine that gives its vote back, to restart or for good. */
    private static void addDeparture(Group group, int index, Set<Group> next) {
        Optional<MembershipChange> removal =
                Optional.of(new MembershipChange.Remove(present(index)));
        if (!group.machines().get(index).isVoting()
                || !POLICY.nextChange(status(group, Map.of()), Set.of(present(index)))
                        .equals(removal)) {
            return;
        }
        if (group.with(index, machine -> machine.departed(Power.UP)).hasMajority()) {
            next.add(group.with(index, machine -> machine.departed(Power.DARK)));
            Group replaced = group.with(index, machine -> machine.departed(Power.GONE));
            if (replaced.isWhole()) {
                next.add(replaced);
            }
        }
    }

    private static Group applied(Group group, MembershipChange change) {
        return switch (change) {
            case MembershipChange.Promote promote -> withRole(group, promote.member(), Role.VOTER);
            case MembershipChange.Remove remove -> withRole(group, remove.member(), Role.OUTSIDE);
            default -> throw new AssertionError("not a change of the policy: " + change);
        };
    }

    private static Group withRole(Group group, MemberIdentifier member, Role role) {
        int index = Integer.parseInt(member.name());
        return group.with(
                index,
                machine ->
                        member.equals(present(index))
                                ? machine.withRole(role)
                                : machine.withoutLostVote());
    }

    /** Returns all combinations of silences of the members that do not answer. */
    private static Stream<Map<MemberIdentifier, Duration>> silences(Group group, int from) {
        if (from == group.machines().size()) {
            return Stream.of(Map.of());
        }
        Machine machine = group.machines().get(from);
        List<MemberIdentifier> silent = new ArrayList<>();
        if (machine.role() != Role.OUTSIDE && machine.power() != Power.UP) {
            silent.add(present(from));
        }
        for (int disk = 0; disk < machine.lostVotes(); disk++) {
            silent.add(lost(from, disk));
        }
        Stream<Map<MemberIdentifier, Duration>> combinations = silences(group, from + 1);
        for (MemberIdentifier member : silent) {
            combinations =
                    combinations.flatMap(
                            others ->
                                    SILENCES.stream()
                                            .map(silence -> with(others, member, silence)));
        }
        return combinations;
    }

    private static Map<MemberIdentifier, Duration> with(
            Map<MemberIdentifier, Duration> others, MemberIdentifier member, Duration silence) {
        Map<MemberIdentifier, Duration> silences = new HashMap<>(others);
        silences.put(member, silence);
        return silences;
    }

    private static MemberStatus status(Group group, Map<MemberIdentifier, Duration> silences) {
        List<Member> members = new ArrayList<>();
        Set<MemberIdentifier> caughtUp = new HashSet<>();
        List<String> established = new ArrayList<>();
        Optional<MemberIdentifier> leader = Optional.empty();
        for (int index = 0; index < group.machines().size(); index++) {
            Machine machine = group.machines().get(index);
            if (index < group.established()) {
                established.add("first-" + index);
            }
            addMember(members, present(index), machine.role());
            for (int disk = 0; disk < machine.lostVotes(); disk++) {
                addMember(members, lost(index, disk), Role.VOTER);
            }
            if (machine.power() == Power.UP) {
                caughtUp.add(present(index));
            }
            if (machine.isVoting()) {
                leader = Optional.of(present(index));
            }
        }
        return new MemberStatus(
                leader.orElseThrow(),
                true,
                1,
                leader,
                Membership.of(members, "group", established),
                COMMITTED,
                COMMITTED,
                1,
                0,
                caughtUp,
                silences);
    }

    private static void addMember(List<Member> members, MemberIdentifier identifier, Role role) {
        if (role != Role.OUTSIDE) {
            members.add(new Member(identifier, "address", role == Role.VOTER));
        }
    }

    private static MemberIdentifier present(int index) {
        return new MemberIdentifier(index + ".present");
    }

    private static MemberIdentifier lost(int index, int disk) {
        return new MemberIdentifier(index + ".lost" + disk);
    }

    private static String trace(Group last, Map<Group, Group> before) {
        StringBuilder trace = new StringBuilder();
        Group group = last;
        while (!before.get(group).equals(group)) {
            trace.insert(0, "\n" + group.machines());
            group = before.get(group);
        }
        return trace.toString();
    }
}
