package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.ibisstand.base.ManualClock;
import org.ibisstand.fleet.CrashEvidence;
import org.ibisstand.fleet.CrashReport;
import org.ibisstand.fleet.CrashReportCodec;
import org.ibisstand.gateway.EngineProbe.Result;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Several gateways whose crash reports one member of control merges. */
class PartQuarantineTest {
    private static final int GATEWAYS = 7;
    private static final int ENGINES = 8;
    private static final Duration PAUSE = Duration.ofMillis(100);
    private static final Prompt CRASHING = prompt("shared", "crashing", "own");

    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(1_000));
    private final BackendDirectory mDirectory = new BackendDirectory(new SplittableRandom(1));
    private final Map<Integer, Long> mBorn = new HashMap<>();
    private final List<PartQuarantine> mGateways = new ArrayList<>();
    private final List<EngineNotices> mSent = new ArrayList<>();
    private final CrashEvidence mControl = new CrashEvidence();
    private Result mProbeResult = Result.REFUSED;

    PartQuarantineTest() {
        IntStream.range(0, ENGINES).forEach(engine -> mBorn.put(engine, 1L));
        updateDirectory();
        IntStream.range(0, GATEWAYS).forEach(gateway -> mGateways.add(startGateway()));
    }

    @Test
    void aPartThatCrashedEnginesIsRefusedAtEveryGateway() {
        crashEngines(CRASHING);

        for (PartQuarantine gateway : mGateways) {
            assertThat(gateway.quarantinedPart(CRASHING)).isPresent();
        }
    }

    @Test
    void promptsWithTheOtherPartsAreNotRefused() {
        crashEngines(CRASHING);

        assertThat(mGateways.getFirst().quarantinedPart(prompt("shared", "own"))).isEmpty();
        assertThat(mGateways.getFirst().quarantinedPart(prompt("crashing"))).isEmpty();
    }

    @Test
    void aPartAnsweredAtAnyGatewayIsNotQuarantined() {
        mGateways.getLast().recordResponse(CRASHING);

        crashEngines(CRASHING);

        assertThat(mGateways.getFirst().quarantinedPart(CRASHING)).isEmpty();
    }

    @Test
    void aLateResponseEndsTheQuarantineEverywhere() {
        crashEngines(CRASHING);
        mGateways.getLast().recordResponse(CRASHING);

        assertThat(mGateways.getFirst().quarantinedPart(CRASHING)).isEmpty();
    }

    /** A hot part that appears shortly before a power loss waits at all engines at once. */
    @Test
    void aPowerLossQuarantinesNoPart() {
        for (int engine = 0; engine < ENGINES; engine++) {
            fail(engine % GATEWAYS, engine, prompt("hot", "own-" + engine));
        }

        assertThat(mGateways.getFirst().quarantinedPart(prompt("hot", "own"))).isEmpty();
    }

    @Test
    void enginesThatStillAcceptConnectionsHaveNotCrashed() {
        mProbeResult = Result.ACCEPTED;

        crashEngines(CRASHING);

        assertThat(mGateways.getFirst().quarantinedPart(CRASHING)).isEmpty();
        assertThat(mSent).isEmpty();
    }

    /** How a crash becomes known if a check of the engine finds out nothing. */
    enum LateSign {
        NEXT_INCARNATION,
        UNREACHABLE_FOR_ITS_AGENT
    }

    @ParameterizedTest
    @EnumSource(LateSign.class)
    void aCrashIsRecognizedByLaterSigns(LateSign sign) {
        mProbeResult = Result.UNKNOWN;
        for (int engine = 0; engine < 3; engine++) {
            fail(0, engine, CRASHING);
            assertThat(mSent).hasSize(engine);
            switch (sign) {
                case NEXT_INCARNATION -> restart(engine);
                case UNREACHABLE_FOR_ITS_AGENT -> reportUnreachable(engine);
            }
            mGateways.getFirst().checkServers();
            mClock.advance(PAUSE);
        }

        assertThat(mGateways.getFirst().quarantinedPart(CRASHING)).isPresent();
    }

    @Test
    void requestsThatBreakOffAtALeavingEngineAreNoEvidence() {
        mDirectory.update(
                List.of(record(0).toBuilder().setState(ServerRecord.State.DRAINING).build()),
                mClock.millis());

        fail(0, 0, CRASHING);

        assertThat(mSent).isEmpty();
    }

    @Test
    void aFailedRequestMarksItsPartsAsSuspectsAtOtherEngines() {
        fail(0, 0, CRASHING);

        assertThat(mGateways.get(1).isSuspectElsewhere(CRASHING, server(0))).isFalse();
        assertThat(mGateways.get(1).isSuspectElsewhere(CRASHING, server(1))).isTrue();
    }

    @Test
    void aRestartedGatewayLearnsTheQuarantine() {
        crashEngines(CRASHING);
        PartQuarantine restarted = startGateway();

        restarted.receive(CrashReportCodec.encode(mControl.report(mClock.millis())));

        assertThat(restarted.quarantinedPart(CRASHING)).isPresent();
    }

    @Test
    void aMemberThatKnowsLessIsToldEverythingOnce() {
        crashEngines(CRASHING);
        mSent.clear();
        EngineNotices empty = CrashReportCodec.encodeComplete(CrashReport.EMPTY);

        mGateways.getFirst().receive(empty);
        mGateways.getFirst().receive(empty);

        assertThat(mSent).hasSize(1);
        PartQuarantine restarted = startGateway();
        restarted.receive(mSent.getFirst());
        assertThat(restarted.quarantinedPart(CRASHING)).isPresent();
    }

    @Test
    void longPartIdentifiersAreShortened() {
        Prompt prompt = prompt("x".repeat(10_000), "own");

        crashEngines(prompt);

        assertThat(mGateways.getFirst().quarantinedPart(prompt)).isPresent();
        assertThat(mSent.getFirst().getSerializedSize()).isLessThan(1_000);
    }

    private PartQuarantine startGateway() {
        return new PartQuarantine(
                mDirectory,
                (address, listener) -> listener.accept(mProbeResult),
                this::send,
                new GatewayMetrics(new MetricRegistry()),
                mClock);
    }

    /** Acts as a member of control: sends everything that is known to all gateways. */
    private void send(EngineNotices notices) {
        mSent.add(notices);
        long now = mClock.millis();
        if (mControl.merge(CrashReportCodec.decode(notices).orElseThrow(), now)) {
            EngineNotices everything = CrashReportCodec.encodeComplete(mControl.report(now));
            List.copyOf(mGateways).forEach(gateway -> gateway.receive(everything));
        }
    }

    /** Sends one request after the other, each through another gateway to another engine. */
    private void crashEngines(Prompt prompt) {
        for (int engine = 0; engine < 3; engine++) {
            fail(engine, engine, prompt);
            mClock.advance(PAUSE);
        }
    }

    private void fail(int gateway, int engine, Prompt prompt) {
        mGateways.get(gateway).recordFailure(prompt, server(engine), mClock.millis());
    }

    private BackendServer server(int engine) {
        return mDirectory.servers().stream()
                .filter(server -> server.name().equals("server-" + engine))
                .findFirst()
                .orElseThrow();
    }

    private void restart(int engine) {
        mBorn.merge(engine, 1L, Long::sum);
        updateDirectory();
    }

    private void reportUnreachable(int engine) {
        mDirectory.updateNotice(
                EngineNotice.newBuilder()
                        .setAddress(record(engine).getAddress())
                        .setUnreachable(true)
                        .build(),
                mClock.millis());
    }

    private void updateDirectory() {
        mDirectory.update(
                IntStream.range(0, ENGINES).mapToObj(this::record).toList(), mClock.millis());
    }

    private ServerRecord record(int engine) {
        return ServerRecord.newBuilder()
                .setServer("server-" + engine)
                .setService("service")
                .setAddress("10.0.0." + engine + ":80")
                .setBornMilliseconds(mBorn.get(engine))
                .build();
    }

    private static Prompt prompt(String... parts) {
        return new Prompt(
                "model", 0, 0, Arrays.stream(parts).map(part -> new Prompt.Part(part, 1)).toList());
    }
}
