package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.fleet.FleetFollower;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against gateways, agents and members that never find the group, since their seeds lost
 * their disks or never had one, while a majority runs elsewhere.
 */
class LostSeedsTest {
    private static final int MEMBER_COUNT = 5;
    private static final Set<Integer> WIPED = Set.of(3, 4);

    /** Numbers of processes of control without a disk. */
    private static final Set<Integer> DIRECTORIES = Set.of(20, 21, 22);

    @TempDir private Path mFolder;
    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<Integer, MemberDirectory> mDirectories = new HashMap<>();
    private ControlGroup mGroup;

    static List<Set<Integer>> seeds() {
        return List.of(Set.of(3, 4, 20), Set.of(3, 4), Set.of(20, 21, 22));
    }

    @BeforeEach
    void create() {
        mGroup = new ControlGroup(mFolder);
        mGroup.startAll();
        for (int member = ControlGroup.FIRST_MEMBER_COUNT; member < MEMBER_COUNT; member++) {
            mGroup.startFirst(member);
            int joining = member;
            ControlGroup.awaitTrue(() -> mGroup.isVoter(joining));
        }
        mGroup.putRouting(7);
    }

    @AfterEach
    void close() {
        stopDirectories();
        mGroup.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void allProcessesFindTheGroupAgainAfterALossOfPowerAndOfSeeds(Set<Integer> seeds)
            throws IOException {
        startDirectories(seeds);
        loseAll();
        mGroup.setSeeds(seeds);
        for (int member = 0; member < MEMBER_COUNT; member++) {
            mGroup.start(member, WIPED.contains(member));
        }
        startDirectories(seeds);
        FleetFollower follower = follow(seeds);

        awaitAllMembers(follower);
        for (int wiped : WIPED) {
            ControlGroup.awaitTrue(() -> mGroup.daemon(wiped).fleet().leaderAddress().isPresent());
        }
        mDirectories
                .values()
                .forEach(
                        directory ->
                                ControlGroup.awaitTrue(
                                        () -> directory.members().size() == MEMBER_COUNT));
        assertThat(mGroup.readRouting()).isNotEmpty();
        follower.close();
    }

    /** The seeds change while all processes run, and again after the first lead nowhere. */
    @Test
    void aFollowerFindsTheGroupOnceItsSeedsLeadThere() {
        FleetFollower follower = follow(Set.of(22));
        startDirectories(DIRECTORIES);
        mGroup.setSeeds(DIRECTORIES);

        awaitAllMembers(follower);
        follower.close();
    }

    private void loseAll() throws IOException {
        stopDirectories();
        for (int member = 0; member < MEMBER_COUNT; member++) {
            mGroup.stop(member);
        }
        for (int member : WIPED) {
            mGroup.deleteFolder(member);
        }
    }

    private void startDirectories(Set<Integer> seeds) {
        for (int number : DIRECTORIES) {
            if (seeds.contains(number)) {
                mDirectories.put(
                        number,
                        MemberDirectory.start(
                                "directory-" + number,
                                mLoops,
                                MonotonicClock.start(),
                                Address.parse(mGroup.address(number)),
                                addresses(seeds)));
            }
        }
    }

    private void stopDirectories() {
        mDirectories.values().forEach(MemberDirectory::close);
        mDirectories.clear();
    }

    private FleetFollower follow(Set<Integer> seeds) {
        WireContext context =
                new WireContext(
                        mLoops,
                        WireSettings.standard(),
                        "gateway",
                        "entry",
                        BootIdentifier.create(),
                        new Random(1));
        FleetFollower follower =
                new FleetFollower(context, mLoops.next(), false, state -> {}, notices -> {});
        follower.follow(addresses(seeds));
        return follower;
    }

    private void awaitAllMembers(FleetFollower follower) {
        Set<String> members = new HashSet<>();
        for (int member = 0; member < MEMBER_COUNT; member++) {
            members.add(mGroup.address(member));
        }
        ControlGroup.awaitTrue(() -> follower.members().equals(members));
    }

    private List<String> addresses(Set<Integer> numbers) {
        return numbers.stream().map(mGroup::address).toList();
    }
}
