package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.Digests;
import org.ibisstand.base.ManualClock;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.fleet.CrashEvidence;
import org.ibisstand.fleet.CrashReport;
import org.ibisstand.fleet.CrashReport.Acquittal;
import org.ibisstand.fleet.CrashReport.Crash;
import org.ibisstand.fleet.CrashReport.Incarnation;
import org.ibisstand.fleet.CrashReport.Suspect;
import org.ibisstand.fleet.CrashReportCodec;
import org.ibisstand.fleet.FleetFollower;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.Administration;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.settings.WireListen;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.EngineNotices;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Crash reports between real control members and their followers. */
class CrashReportRelayTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(40);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final int WIRE_PORT = 27_350;
    private static final int MEMBER_COUNT = 3;
    private static final String PART = "part";
    private static final CrashReport CRASH = crashBy(PART);

    private final String mAddressPrefix = "127." + (2 + new Random().nextInt(250)) + ".8.";
    private final Map<Integer, ControlDaemon> mDaemons = new HashMap<>();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService mFollowerThread = Executors.newSingleThreadExecutor();
    private final Collection<FleetFollower> mFollowers = new ArrayList<>();

    @TempDir private Path mFolder;

    @AfterEach
    void close() {
        mFollowers.forEach(FleetFollower::close);
        mDaemons.values().forEach(ControlDaemon::close);
        mFollowerThread.shutdown();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void aReportReachesTheGatewaysOfAllMembers() {
        startAll();
        Gateway reporting = follow(0);
        Gateway other = follow(1);

        awaitTold(reporting, CRASH);

        awaitTrue(() -> other.suspects().contains(PART));
    }

    @Test
    void aMemberThatRestartedLearnsTheReportsFromTheOthers() {
        startAll();
        Gateway reporting = follow(0);
        awaitTold(reporting, CRASH);
        Gateway watching = follow(1);
        awaitTrue(() -> watching.suspects().contains(PART));
        mFollowers.forEach(FleetFollower::close);

        mDaemons.remove(0).close();
        start(0);

        awaitTrue(() -> decode(mDaemons.get(0).fleet().crashReports().join()).equals(Set.of(PART)));
    }

    @Test
    void anAcquittalIsToldToAllGateways() {
        startAll();
        Gateway reporting = follow(0);
        Gateway other = follow(1);
        awaitTold(reporting, CRASH);
        awaitTrue(() -> other.suspects().contains(PART));

        awaitTold(other, new CrashReport(List.of(), List.of(new Acquittal(PART, 0))));

        awaitTrue(() -> reporting.suspects().isEmpty());
    }

    @Test
    void aReportIsForwardedToOtherMembersOnlyOnce() {
        List<EngineNotices> forwarded = new ArrayList<>();
        CrashReportRelay relay =
                new CrashReportRelay(
                        forwarded::add,
                        "a:1",
                        () -> List.of("a:1"),
                        ManualClock.at(Instant.ofEpochSecond(1_000)));

        relay.receive(CRASH);
        relay.receive(CRASH);
        relay.receive(CrashReport.EMPTY);

        assertThat(forwarded).hasSize(1);
        assertThat(decode(forwarded.getFirst())).containsExactly(PART);
    }

    /** With the whole evidence from each member for each report, the links of a fleet were full. */
    @Test
    void eachGatewayGotTheWholeEvidenceFromAllMembersForEachReport() {
        startAll();
        Gateway reporting = follow(0);
        Gateway other = follow(1);
        awaitTold(reporting, CRASH);
        awaitTrue(() -> other.suspects().contains(PART));
        awaitTrue(() -> other.reportsWith(PART) >= 2);

        awaitTold(reporting, crashBy("second"));
        awaitTrue(() -> other.reportsWith("second") >= 2);

        assertThat(other.reportsWith(PART)).isEqualTo(2);
        assertThat(other.reportsWith("second")).isEqualTo(2);
    }

    /** A follower and the evidence that it received. */
    private final class Gateway {
        private final CrashEvidence mEvidence = new CrashEvidence();
        private final List<CrashReport> mReports = new ArrayList<>();
        private final FleetFollower mFollower;

        Gateway(String process, int member) {
            WireContext wire =
                    new WireContext(
                            mGroup,
                            WireSettings.standard(),
                            process,
                            "entry",
                            BootIdentifier.create(),
                            new SecureRandom());
            mFollower = new FleetFollower(wire, mFollowerThread, true, state -> {}, this::receive);
            mFollower.follow(List.of(address(member)));
        }

        private synchronized void receive(EngineNotices notices) {
            CrashReportCodec.decode(notices)
                    .ifPresent(
                            report -> {
                                mEvidence.merge(report, 0);
                                mReports.add(report);
                            });
        }

        private synchronized Set<String> suspects() {
            return mEvidence.suspects(0);
        }

        private synchronized int reportsWith(String part) {
            return (int)
                    mReports.stream()
                            .filter(
                                    report -> {
                                        CrashEvidence evidence = new CrashEvidence();
                                        evidence.merge(report, 0);
                                        return evidence.suspects(0).contains(part);
                                    })
                            .count();
        }
    }

    private Gateway follow(int member) {
        Gateway gateway = new Gateway("gateway-" + mFollowers.size(), member);
        mFollowers.add(gateway.mFollower);
        return gateway;
    }

    /** Tells a report until it comes back, as the follower may not be connected yet. */
    private void awaitTold(Gateway gateway, CrashReport report) {
        boolean isAcquittal = report.crashes().isEmpty();
        CrashEvidence evidence = new CrashEvidence();
        evidence.merge(isAcquittal ? CRASH : report, 0);
        Set<String> parts = evidence.suspects(0);
        awaitTrue(
                () -> {
                    gateway.mFollower.tellAll(CrashReportCodec.encode(report));
                    return gateway.suspects().containsAll(parts) != isAcquittal;
                });
    }

    private static Set<String> decode(EngineNotices notices) {
        CrashEvidence evidence = new CrashEvidence();
        evidence.merge(CrashReportCodec.decode(notices).orElseThrow(), 0);
        return evidence.suspects(0);
    }

    private static CrashReport crashBy(String part) {
        return new CrashReport(
                List.of(
                        new Crash(
                                new Incarnation("engine-of-" + part, 1),
                                0,
                                Set.of(new Suspect(Set.of(part), 0)))),
                List.of());
    }

    private void startAll() {
        for (int member = 0; member < MEMBER_COUNT; member++) {
            start(member);
        }
    }

    private void start(int member) {
        mDaemons.put(member, ControlDaemon.start(settings(member), ReplicatedLog::open));
    }

    private ControlSettings settings(int member) {
        List<ControlSettings.Member> members = new ArrayList<>();
        for (int other = 0; other < MEMBER_COUNT; other++) {
            members.add(
                    new ControlSettings.Member("member-" + other, Address.parse(address(other))));
        }
        String host = mAddressPrefix + (member + 1);
        return new ControlSettings(
                "member-" + member,
                "zone",
                new WireListen(host, WIRE_PORT, Optional.empty()),
                new Administration(host, 0, Digests.hexadecimal("token")),
                mFolder.resolve("member-" + member).toString(),
                members,
                false,
                false,
                new ControlSettings.Limits(1_000, 1 << 20, 1, 2),
                new ControlSettings.Timing(600, 100, 3_600_000, 30_000, 1_000, 0));
    }

    private String address(int member) {
        return mAddressPrefix + (member + 1) + ":" + WIRE_PORT;
    }

    private static void awaitTrue(BooleanSupplier condition) {
        Clock clock = MonotonicClock.start();
        Instant deadline = clock.instant().plus(TIMEOUT);
        while (!condition.getAsBoolean()) {
            assertThat(clock.instant()).isLessThan(deadline);
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }
}
