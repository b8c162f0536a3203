package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import org.ibisstand.gateway.EngineHarness.InformedGateway;
import org.ibisstand.gateway.RequestTimeline.Step;
import org.ibisstand.settings.Route.Repetition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that no request uses KV cache of other weights while agents order loads and gateways know
 * different news. The first engine has an agent that knows of version 2; the second has none.
 */
class StaleKvCacheWholePathTest {
    private static final Duration TICK = Duration.ofMillis(100);

    /** Longer than an agent waits for runs. */
    private static final int MAXIMUM_TICKS = 100;

    private final EngineHarness mHarness = new EngineHarness(2, 1, true);
    private final VersionedEngine mFirst = mHarness.engine(0);
    private final VersionedEngine mSecond = mHarness.engine(1);
    private final InformedGateway mInformed = mHarness.firstGateway();
    private final EngineAgent mAgent =
            new EngineAgent(
                    mHarness,
                    mFirst,
                    notice ->
                            mInformed.sendNotice(
                                    mFirst,
                                    notice.getLoading(),
                                    notice.getWeightsOrThrow(EngineHarness.MODEL)));

    @AfterEach
    void close() {
        mHarness.close();
    }

    /** Why a gateway does not know of the newest weights. */
    enum MissedNews {
        MEMBER_OF_CONTROL_IS_SILENT,
        GATEWAY_HAS_JUST_STARTED
    }

    /** Where an engine with other weights finds parts that were cached under the same salt. */
    enum CacheSource {
        STORE,
        PEER
    }

    /**
     * A run continued after its engine had loaded newer weights, and was recomputed under its
     * former salt. A gateway that knew only the older weights had an engine fetch these parts.
     */
    @ParameterizedTest
    @CsvSource({
        "MEMBER_OF_CONTROL_IS_SILENT, PEER",
        "MEMBER_OF_CONTROL_IS_SILENT, STORE",
        "GATEWAY_HAS_JUST_STARTED, STORE"
    })
    void aGatewayThatMissedAVersionFetchedPartsRecomputedUnderIt(
            MissedNews missedNews, CacheSource source) {
        InformedGateway outdated = mHarness.startGateway(mHarness.fleetState(1));
        if (source == CacheSource.PEER) {
            send(outdated, mFirst, "former", "p,former");
            finishRun("former");
        }
        send(mInformed, mFirst, "r", "p,own");
        mHarness.sendEvent("r");
        mHarness.fleet().restartStore();

        loadWeightsAtFirst();
        preemptAtFirst("r");
        if (source == CacheSource.PEER) {
            mHarness.fleet().restartStore();
        }
        if (missedNews == MissedNews.GATEWAY_HAS_JUST_STARTED) {
            outdated = mHarness.startGateway(mHarness.fleetState(1));
        }

        assertThat(send(outdated, mSecond, "other", "p,other")).isEqualTo(Step.ADMITTED);
        assertThat(mHarness.fleet().violations()).isEmpty();
    }

    /**
     * While a gateway asked for a run to be moved, its engine loaded newer weights and recomputed
     * the run, which sent no event that told so. The copy then continued under the older weights.
     */
    @Test
    void aRunRecomputedDuringItsMoveContinuedUnderOlderWeights() {
        send(mInformed, mFirst, "r", "p,own");
        mHarness.sendEvent("r");
        nameVersion();
        mAgent.tick();
        mFirst.beforeStop(
                () -> {
                    for (int ticks = 0; ticks < 8; ticks++) {
                        mHarness.clock().advance(TICK);
                        mAgent.tick();
                    }
                    if (mAgent.completeLoad() && mHarness.fleet().engineOf("r").isPresent()) {
                        mFirst.recompute("r");
                    }
                });

        mHarness.preferEngine(mSecond);
        mHarness.sendEvent("r");

        assertThat(mHarness.fleet().violations()).isEmpty();
    }

    /**
     * A request named a source of KV cache and waited at its engine. Before it began, the source
     * loaded newer weights, and cached a recomputed run under the salt of the older ones.
     */
    @Test
    void aWaitingRequestFetchedPartsThatItsSourceRecomputedMeanwhile() {
        mHarness.fleet().delayPrefill();
        send(mInformed, mFirst, "r", "p,own");
        mHarness.sendEvent("r");
        assertThat(send(mInformed, mSecond, "other", "p,other")).isEqualTo(Step.ADMITTED);
        mHarness.fleet().restartStore();

        loadWeightsAtFirst();
        preemptAtFirst("r");
        mHarness.sendEvent("other");

        assertThat(mHarness.fleet().violations()).isEmpty();
    }

    private Step send(
            InformedGateway gateway, VersionedEngine engine, String request, String prompt) {
        mHarness.preferEngine(engine);
        return mHarness.sendRequest(gateway, request, Repetition.STREAM, prompt);
    }

    private void nameVersion() {
        mInformed.update(mHarness.fleetState(2));
        mAgent.update(mHarness.fleetState(2));
    }

    /** Names version 2 and lets the agent of the first engine bring it there. */
    private void loadWeightsAtFirst() {
        nameVersion();
        for (int ticks = 0; ticks < MAXIMUM_TICKS && mFirst.version() == 1; ticks++) {
            mAgent.tick();
            boolean waitsForRuns =
                    mAgent.acceptedMode()
                            .filter(mode -> mode == LoadMode.RUNS_FINISH_FIRST)
                            .isPresent();
            if (waitsForRuns && mFirst.runCount(true) > 0) {
                mHarness.sendEvent("r");
            }
            mAgent.completeLoad();
            mHarness.clock().advance(TICK);
        }
        assertWithMessage("version of the first engine").that(mFirst.version()).isEqualTo(2);
        mAgent.tick();
    }

    private void preemptAtFirst(String request) {
        if (mHarness.fleet().engineOf(request).filter(mFirst::equals).isPresent()) {
            mHarness.preempt(request);
        }
    }

    private void finishRun(String request) {
        while (mHarness.openRequests().contains(request)) {
            mHarness.sendEvent(request);
        }
    }
}
