package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs real control members with logs on disk, each at its own loopback address. */
class FleetControlTest {
    @TempDir private Path mFolder;
    private ControlGroup mGroup;

    @BeforeEach
    void create() {
        mGroup = new ControlGroup(mFolder);
    }

    @AfterEach
    void close() {
        mGroup.close();
    }

    @Test
    void anAcknowledgedRoutingCanBeRead() {
        mGroup.startAll();

        mGroup.putRouting(7);

        assertThat(mGroup.readRouting())
                .isEqualTo(new String(ControlGroup.ROUTING_SOURCE, StandardCharsets.UTF_8));
    }

    @Test
    void aMemberWithoutAMajorityRefusesReads() {
        mGroup.startAll();
        mGroup.putRouting(7);
        mGroup.stop(1);
        mGroup.stop(2);

        ControlGroup.awaitTrue(
                () -> ControlGroup.errorCodeOf(mGroup.daemon(0).fleet().readRouting()).isPresent());

        assertThat(ControlGroup.errorCodeOf(mGroup.daemon(0).fleet().readRouting()).orElseThrow())
                .isAnyOf(ErrorCode.NO_QUORUM, ErrorCode.NOT_LEADER);
    }

    @Test
    void anAcknowledgedRoutingSurvivesARestartOfAllMembers() {
        mGroup.startAll();
        mGroup.putRouting(7);
        for (int member = 0; member < ControlGroup.FIRST_MEMBER_COUNT; member++) {
            mGroup.stop(member);
        }
        for (int member = 0; member < ControlGroup.FIRST_MEMBER_COUNT; member++) {
            mGroup.start(member, false);
        }

        assertThat(mGroup.readRouting())
                .isEqualTo(new String(ControlGroup.ROUTING_SOURCE, StandardCharsets.UTF_8));
    }

    @Test
    void aMemberThatLostItsDiskJoinsTheGroupAgain() throws IOException {
        mGroup.startAll();
        mGroup.putRouting(7);
        mGroup.stop(2);
        mGroup.deleteFolder(2);
        mGroup.start(2, true);
        ControlGroup.awaitTrue(() -> mGroup.daemon(2).fleet().leaderAddress().isPresent());
        ControlGroup.awaitTrue(() -> mGroup.isVoterAgain(2));
        mGroup.stop(0);

        mGroup.putRouting(8);

        assertThat(mGroup.readRouting())
                .isEqualTo(new String(ControlGroup.ROUTING_SOURCE, StandardCharsets.UTF_8));
    }

    /** Guards against a voter that is gone for good and counts towards every majority for ever. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aGroupStaysWritableAfterEachMemberIsReplacedAtAnotherAddress(boolean successorIsFirst) {
        mGroup.startAll();
        mGroup.putRouting(1);
        for (int gone = 0; gone < 2 * ControlGroup.FIRST_MEMBER_COUNT; gone++) {
            int successor = gone + ControlGroup.FIRST_MEMBER_COUNT;
            int lost = gone;
            if (successorIsFirst) {
                mGroup.start(successor, true);
                ControlGroup.awaitTrue(() -> mGroup.isVoter(successor));
                mGroup.stop(lost);
            } else {
                mGroup.stop(lost);
                mGroup.start(successor, true);
            }

            ControlGroup.awaitTrue(() -> mGroup.isVoter(successor) && mGroup.isNoVoter(lost));
            mGroup.putRouting(gone + 2);
        }
        assertThat(mGroup.readRouting())
                .isEqualTo(new String(ControlGroup.ROUTING_SOURCE, StandardCharsets.UTF_8));
    }

    /** Guards against a member that lost its place while it was silent and never gets it back. */
    @Test
    void aMemberThatWasRemovedWhileItWasAwayReturnsWithItsDisk() {
        mGroup.startAll();
        mGroup.start(ControlGroup.FIRST_MEMBER_COUNT, true);
        ControlGroup.awaitTrue(() -> mGroup.isVoter(ControlGroup.FIRST_MEMBER_COUNT));
        mGroup.stop(1);
        ControlGroup.awaitTrue(() -> mGroup.isNoVoter(1));
        mGroup.putRouting(1);

        mGroup.start(1, false);

        ControlGroup.awaitTrue(() -> mGroup.isVoter(1));
        mGroup.putRouting(2);
        assertThat(mGroup.readRouting())
                .isEqualTo(new String(ControlGroup.ROUTING_SOURCE, StandardCharsets.UTF_8));
    }

    /**
     * Guards against members that were replaced as planned and keep their votes, so that the next
     * lost disk takes the majority, right after the last stop or at any later time.
     */
    @ParameterizedTest
    @CsvSource({"1, true", "1, false", "2, true", "2, false"})
    void aLostDiskIsBorneRightAfterPlannedReplacements(int replaced, boolean beginsWithLeader)
            throws IOException {
        mGroup.startAll();
        for (int member = 0; member < replaced; member++) {
            int successor = ControlGroup.FIRST_MEMBER_COUNT + member;
            mGroup.start(successor, true);
            ControlGroup.awaitTrue(() -> mGroup.isVoter(successor));
        }
        mGroup.putRouting(7);
        List<Integer> leaving = new ArrayList<>(List.of(0, 1, 2));
        leaving.sort(Comparator.comparing(member -> mGroup.leads(member) != beginsWithLeader));
        int lost = leaving.removeLast();
        leaving.subList(0, replaced).forEach(mGroup::terminate);

        mGroup.stop(lost);
        mGroup.deleteFolder(lost);
        mGroup.start(lost, true);

        assertThat(mGroup.readRouting())
                .isEqualTo(new String(ControlGroup.ROUTING_SOURCE, StandardCharsets.UTF_8));
    }

    /** Guards against a member that ends before a new leader could take its vote. */
    @Test
    void aLostDiskOfTheLeaderIsBorneDuringAPlannedStop() throws IOException {
        mGroup.startAll();
        int successor = ControlGroup.FIRST_MEMBER_COUNT;
        mGroup.start(successor, true);
        ControlGroup.awaitTrue(() -> mGroup.isVoter(successor));
        mGroup.putRouting(7);
        List<Integer> members = new ArrayList<>(List.of(0, 1, 2, successor));
        members.sort(Comparator.comparing(member -> !mGroup.leads(member)));
        int leader = members.getFirst();
        int leaving = members.getLast() == successor ? members.get(1) : members.getLast();

        mGroup.stop(leader);
        mGroup.deleteFolder(leader);
        mGroup.terminate(leaving);
        mGroup.start(leader, true);

        assertThat(mGroup.readRouting())
                .isEqualTo(new String(ControlGroup.ROUTING_SOURCE, StandardCharsets.UTF_8));
    }

    /** Guards against a stop that waits, or gives up a vote that the group needs. */
    @Test
    void aMemberThatTheGroupNeedsKeepsItsVoteWhenItStops() {
        mGroup.startAll();
        mGroup.putRouting(7);
        for (int member = 0; member < ControlGroup.FIRST_MEMBER_COUNT; member++) {
            mGroup.terminate(member);
            mGroup.start(member, false);
            int restarted = member;
            ControlGroup.awaitTrue(
                    () -> mGroup.daemon(restarted).fleet().leaderAddress().isPresent());
            assertThat(mGroup.isVoter(member)).isTrue();
        }
        assertThat(mGroup.votersAt(0)).isEqualTo(ControlGroup.FIRST_MEMBER_COUNT);
    }

    /** Guards against a returning member that takes the votes of two others that are away. */
    @Test
    void aGroupOfSixBearsTwoLostDisksAfterThreeMembersWereAway() throws IOException {
        mGroup.startAll();
        for (int member = ControlGroup.FIRST_MEMBER_COUNT;
                member < 2 * ControlGroup.FIRST_MEMBER_COUNT;
                member++) {
            mGroup.startFirst(member);
            int joining = member;
            ControlGroup.awaitTrue(() -> mGroup.isVoter(joining));
        }
        mGroup.stop(1);
        ControlGroup.awaitTrue(() -> mGroup.isNoVoter(1));
        mGroup.stop(3);
        mGroup.stop(4);
        mGroup.start(1, false);
        ControlGroup.awaitTrue(() -> mGroup.isVoter(1));
        ControlGroup.awaitTrue(() -> mGroup.votersAt(5) == 5);
        mGroup.putRouting(7);
        for (int member : List.of(0, 2)) {
            mGroup.stop(member);
            mGroup.deleteFolder(member);
        }

        mGroup.start(3, false);
        mGroup.start(4, false);
        mGroup.start(0, true);
        mGroup.start(2, true);

        assertThat(mGroup.readRouting())
                .isEqualTo(new String(ControlGroup.ROUTING_SOURCE, StandardCharsets.UTF_8));
    }

    @Test
    void aServerAnnouncedToOneMemberIsKnownToAll() {
        mGroup.startAll();
        ServerRecord record =
                ServerRecord.newBuilder()
                        .setServer("server")
                        .setService("service")
                        .setAddress("10.0.0.1:1")
                        .setSequence(1)
                        .build();

        ControlGroup.join(mGroup.daemon(0).fleet().announceServer(record));

        for (int member = 1; member < ControlGroup.FIRST_MEMBER_COUNT; member++) {
            FleetControl fleet = mGroup.daemon(member).fleet();
            ControlGroup.awaitTrue(
                    () -> {
                        ControlGroup.join(mGroup.daemon(0).fleet().announceServer(record));
                        return ControlGroup.join(fleet.findServer("server")).isPresent();
                    });
        }
    }
}
