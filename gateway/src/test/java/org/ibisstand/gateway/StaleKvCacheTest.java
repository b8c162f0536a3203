package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.ibisstand.gateway.RequestTimeline.Step;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that no request uses KV cache computed with other weights than its engine has. */
class StaleKvCacheTest {
    private EngineHarness mHarness;
    private VersionedEngine mFirst;
    private VersionedEngine mSecond;

    @AfterEach
    void close() {
        mHarness.close();
    }

    /**
     * A run continued after its engine loaded newer weights, so that its KV cache is of two
     * versions. It was then moved, and no engine's weights match all of it.
     */
    @ParameterizedTest
    @CsvSource({"3, false", "2, true"})
    void aRunThatContinuedUnderNewerWeightsWasMoved(long otherVersion, boolean isNoticeLate) {
        start(2, 2, true);
        mHarness.sendRequestTo(mFirst, "r", "p,own");
        mHarness.sendEvent("r");
        mHarness.setOrderedVersion(3);
        mHarness.loadWeights(mFirst, 3);
        if (otherVersion == 3) {
            mHarness.loadWeights(mSecond, 3);
            mHarness.sendNotice(mSecond, false, 3);
            mHarness.sendNotice(mFirst, false, 3);
            mHarness.sendEvent("r");
            mHarness.setOrderedVersion(4);
        }

        mHarness.preferEngine(mSecond);
        mHarness.sendNotice(mFirst, true, isNoticeLate ? 2 : 3);
        mHarness.sendEvent("r");

        assertThat(mHarness.fleet().violations()).isEmpty();
    }

    /**
     * An engine refused a request for older weights. The gateway assumed that it had the newest
     * ordered version, and moved one of its runs to an engine with that version.
     */
    @Test
    void anAssumedWeightsVersionMovedARunToOtherWeights() {
        start(2, 1, true);
        mHarness.setOrderedVersion(2);
        mHarness.loadWeights(mFirst, 2);
        mFirst.delayRefusals();
        assertThat(mHarness.sendRequestTo(mFirst, "late", "q,own")).isEqualTo(Step.REFUSAL_DELAYED);
        mHarness.sendNotice(mFirst, false, 2);
        mHarness.sendRequestTo(mFirst, "r", "p,own");
        mHarness.sendEvent("r");
        mHarness.setOrderedVersion(3);
        mHarness.loadWeights(mSecond, 3);
        mHarness.sendNotice(mSecond, false, 3);
        mHarness.sendDelayedRefusals(mFirst);

        mHarness.preferEngine(mSecond);
        mHarness.sendNotice(mFirst, true, 2);
        mHarness.sendEvent("r");

        assertThat(mHarness.fleet().violations()).isEmpty();
    }

    /** Engines that load newer weights during the move of a run between them. */
    enum LoadDuringMove {
        TARGET,
        TARGET_UNNOTICED_AND_SOURCE,
        SOURCE_OF_AN_UNCOPIED_RUN
    }

    /**
     * The weights version of a moved run was looked up again after its KV cache had been copied,
     * and the engine that resumed the run had loaded newer weights by then.
     */
    @ParameterizedTest
    @EnumSource(LoadDuringMove.class)
    void aStoppedRunContinuedUnderWeightsLoadedDuringItsMove(LoadDuringMove load) {
        start(2, 2, true);
        mHarness.sendRequestTo(mFirst, "r", "p,own");
        mHarness.sendEvent("r");
        mHarness.setOrderedVersion(3);
        mFirst.onStopped(
                load == LoadDuringMove.SOURCE_OF_AN_UNCOPIED_RUN,
                () -> {
                    if (load != LoadDuringMove.SOURCE_OF_AN_UNCOPIED_RUN) {
                        mSecond.completeLoad(3, LoadMode.RUNS_CONTINUE);
                    }
                    if (load == LoadDuringMove.TARGET) {
                        mHarness.sendNotice(mSecond, false, 3);
                    } else {
                        mFirst.completeLoad(3, LoadMode.RUNS_CONTINUE);
                        mHarness.sendNotice(mFirst, false, 3);
                    }
                });

        mHarness.preferEngine(mSecond);
        mHarness.sendNotice(mFirst, true, 2);
        mHarness.sendEvent("r");

        assertThat(mHarness.fleet().violations()).isEmpty();
    }

    /** Where an engine with other weights finds parts that were cached under the same salt. */
    enum CacheSource {
        STORE,
        PEER
    }

    /**
     * While the weights of engines were unknown, all versions had the same salt, and an engine
     * fetched parts that another version had computed.
     */
    @ParameterizedTest
    @EnumSource(CacheSource.class)
    void enginesWithUnknownWeightsSharedKvCache(CacheSource source) {
        start(2, 1, false);
        mHarness.setOrderedVersion(2);
        mHarness.loadWeights(mSecond, 2);
        mHarness.sendRequestTo(mFirst, "r", "p,own");
        if (source == CacheSource.STORE) {
            mHarness.sendEvent("r");
        } else {
            mHarness.fleet().restartStore();
        }

        mHarness.sendRequestTo(mSecond, "other", "p,other");

        assertThat(mHarness.fleet().violations()).isEmpty();
    }

    /**
     * A preempted run was recomputed after its engine loaded newer weights, and cached under its
     * former salt, where an engine with the older weights fetched it.
     */
    @ParameterizedTest
    @EnumSource(CacheSource.class)
    void partsRecomputedUnderNewerWeightsWereFetchedUnderTheOlderSalt(CacheSource source) {
        start(2, 2, true);
        mHarness.sendRequestTo(mFirst, "r", "p,own");
        mHarness.sendEvent("r");
        mHarness.setOrderedVersion(3);
        mHarness.loadWeights(mFirst, 3);
        mHarness.fleet().restartStore();
        mHarness.preempt("r");
        if (source == CacheSource.PEER) {
            mHarness.fleet().restartStore();
        } else {
            mHarness.sendNotice(mFirst, false, 3);
        }

        mHarness.sendRequestTo(mSecond, "other", "p,other");

        assertThat(mHarness.fleet().violations()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRunMovesToAnEngineWithItsWeightsIfThereIsRoom(boolean targetHasRoom) {
        start(2, 2, true);
        mHarness.sendRequestTo(mFirst, "r", "p,own");
        mHarness.sendEvent("r");
        mHarness.setOrderedVersion(3);
        mFirst.onStopped(!targetHasRoom, () -> {});

        mHarness.preferEngine(mSecond);
        mHarness.sendNotice(mFirst, true, 2);
        mHarness.sendEvent("r");

        assertThat(mHarness.fleet().engineOf("r")).hasValue(targetHasRoom ? mSecond : mFirst);
    }

    private void start(int engineCount, long version, boolean announcesWeights) {
        mHarness = new EngineHarness(engineCount, version, announcesWeights);
        mFirst = mHarness.engine(0);
        mSecond = mHarness.engine(1);
    }
}
