package org.ibisstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireServer;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.FleetUpdate;
import org.ibisstand.wire.message.Frame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a process that forgets the members of control after all connections were lost at
 * once, and then follows members that know nothing.
 */
class FleetFollowerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
    private static final String OTHER_MEMBER = "127.0.0.1:9";
    private static final String FORMER_MEMBER = "127.0.0.1:10";

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final WireContext mContext =
            new WireContext(
                    mGroup,
                    WireSettings.standard(),
                    "test",
                    "control",
                    BootIdentifier.create(),
                    new Random(1));
    private final List<StandInMember> mMembers = new ArrayList<>();
    private final List<FleetState> mStates = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() {
        mMembers.forEach(member -> member.mServer.close());
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void membersStayKnownAfterAnUpdateThatNamesNone(boolean isEntry) {
        StandInMember informed = new StandInMember(update(1, 5, OTHER_MEMBER));
        StandInMember wiped = new StandInMember(update(0, 0));
        FleetFollower follower = follow(isEntry, informed);
        awaitMembers(follower, OTHER_MEMBER);

        informed.lose();
        follower.follow(Set.of(wiped.address()));
        awaitStates(2);

        awaitMembers(follower, OTHER_MEMBER);
        follower.close();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void membersStayKnownAfterAnUpdateFromAnOlderLog(long term) {
        StandInMember informed = new StandInMember(update(term, 5, OTHER_MEMBER));
        StandInMember late = new StandInMember(update(1, term == 1 ? 4 : 9, FORMER_MEMBER));
        FleetFollower follower = follow(true, informed);
        awaitMembers(follower, OTHER_MEMBER);

        follower.follow(Set.of(late.address()));
        awaitStates(2);

        awaitMembers(follower, OTHER_MEMBER);
        follower.close();
    }

    @Test
    void aMemberIsForgottenOnceANewerListLacksIt() {
        StandInMember member = new StandInMember(update(1, 5, FORMER_MEMBER));
        FleetFollower follower = follow(true, member);
        awaitMembers(follower, FORMER_MEMBER);

        member.send(update(1, 6, OTHER_MEMBER));

        awaitMembers(follower, OTHER_MEMBER);
        follower.close();
    }

    private FleetFollower follow(boolean isEntry, StandInMember seed) {
        FleetFollower follower =
                new FleetFollower(mContext, mGroup.next(), isEntry, mStates::add, notices -> {});
        follower.follow(Set.of(seed.address()));
        return follower;
    }

    /** Waits until the follower has handled so many updates. */
    private void awaitStates(int count) {
        await(() -> mStates.size() >= count);
        assertThat(mStates).hasSize(count);
    }

    private static void awaitMembers(FleetFollower follower, String... addresses) {
        await(() -> follower.members().equals(Set.of(addresses)));
        assertThat(follower.members()).containsExactlyElementsIn(addresses);
    }

    private static void await(BooleanSupplier condition) {
        Clock clock = MonotonicClock.start();
        Instant deadline = clock.instant().plus(TIMEOUT);
        while (!condition.getAsBoolean() && clock.instant().isBefore(deadline)) {
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }

    private static FleetUpdate update(long term, long index, String... members) {
        return FleetUpdate.newBuilder()
                .addAllMembers(List.of(members))
                .setMembersTerm(term)
                .setMembersIndex(index)
                .setWhole(true)
                .build();
    }

    /** Answers each watch with one update. */
    private final class StandInMember implements FrameHandler {
        private final WireServer mServer;
        private final FleetUpdate mUpdate;
        private volatile WireConnection mWatcher;
        private volatile long mCorrelation;

        StandInMember(FleetUpdate update) {
            mUpdate = update;
            mServer = WireServer.start(mContext, new InetSocketAddress("127.0.0.1", 0), this);
            mMembers.add(this);
        }

        String address() {
            return "127.0.0.1:" + mServer.port();
        }

        @Override
        public void received(WireConnection connection, Frame frame) {
            if (frame.hasFleetWatch()) {
                mCorrelation = frame.getCorrelation();
                mWatcher = connection;
                send(mUpdate);
            }
        }

        void send(FleetUpdate update) {
            mWatcher.send(mCorrelation, Frame.newBuilder().setFleetUpdate(update));
        }

        void lose() {
            mServer.close();
            mWatcher.close();
        }
    }
}
