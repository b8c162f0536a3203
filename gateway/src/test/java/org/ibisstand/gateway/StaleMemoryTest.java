package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.ibisstand.gateway.RunLog.Step;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** No request runs on memory that other weights made than its engine has. */
class StaleMemoryTest {
    private EngineScenario mScenario;
    private VersionedEngine mFirst;
    private VersionedEngine mSecond;

    @AfterEach
    void close() {
        mScenario.close();
    }

    /** A run went on under newer weights: whatever another engine has, half of it is other. */
    @ParameterizedTest
    @CsvSource({"3, false", "2, true"})
    void aRunThatWentOnUnderNewerWeightsWasMoved(long otherVersion, boolean noticeIsLate) {
        start(2, 2, true);
        mScenario.askAt(mFirst, "r", "p,own");
        mScenario.event("r");
        mScenario.name(3);
        mScenario.load(mFirst, 3);
        if (otherVersion == 3) {
            mScenario.load(mSecond, 3);
            mScenario.tell(mSecond, false, 3);
            mScenario.tell(mFirst, false, 3);
            mScenario.event("r");
            mScenario.name(4);
        }

        mScenario.favour(mSecond);
        mScenario.tell(mFirst, true, noticeIsLate ? 2 : 3);
        mScenario.event("r");

        assertThat(mScenario.fleet().findings()).isEmpty();
    }

    /** The newest named weights were taken for those of an engine that refused others. */
    @Test
    void aGuessOfAnEnginesWeightsMovedItsRunToOtherWeights() {
        start(2, 1, true);
        mScenario.name(2);
        mScenario.load(mFirst, 2);
        mFirst.holdRefusals();
        assertThat(mScenario.askAt(mFirst, "late", "q,own")).isEqualTo(Step.REFUSAL_HELD);
        mScenario.tell(mFirst, false, 2);
        mScenario.askAt(mFirst, "r", "p,own");
        mScenario.event("r");
        mScenario.name(3);
        mScenario.load(mSecond, 3);
        mScenario.tell(mSecond, false, 3);
        mScenario.releaseRefusals(mFirst);

        mScenario.favour(mSecond);
        mScenario.tell(mFirst, true, 2);
        mScenario.event("r");

        assertThat(mScenario.fleet().findings()).isEmpty();
    }

    /** Which engines load newer weights while a run is on its way between them. */
    enum Loaded {
        TARGET,
        TARGET_UNNOTICED_AND_SOURCE,
        SOURCE_OF_A_RUN_WITHOUT_ROOM
    }

    @ParameterizedTest
    @EnumSource(Loaded.class)
    void aStoppedRunWentOnUnderTheWeightsThatItsEngineLoadedMeanwhile(Loaded loaded) {
        start(2, 2, true);
        mScenario.askAt(mFirst, "r", "p,own");
        mScenario.event("r");
        mScenario.name(3);
        mFirst.onStopped(
                loaded == Loaded.SOURCE_OF_A_RUN_WITHOUT_ROOM,
                () -> {
                    if (loaded != Loaded.SOURCE_OF_A_RUN_WITHOUT_ROOM) {
                        mSecond.completeLoad(3);
                    }
                    if (loaded == Loaded.TARGET) {
                        mScenario.tell(mSecond, false, 3);
                    } else {
                        mFirst.completeLoad(3);
                        mScenario.tell(mFirst, false, 3);
                    }
                });

        mScenario.favour(mSecond);
        mScenario.tell(mFirst, true, 2);
        mScenario.event("r");

        assertThat(mScenario.fleet().findings()).isEmpty();
    }

    /** Where an engine of other weights finds parts that were made under the same salt. */
    enum Origin {
        STORE,
        PEER
    }

    @ParameterizedTest
    @EnumSource(Origin.class)
    void enginesOfUnknownWeightsSharedParts(Origin origin) {
        start(2, 1, false);
        mScenario.name(2);
        mScenario.load(mSecond, 2);
        mScenario.askAt(mFirst, "r", "p,own");
        if (origin == Origin.STORE) {
            mScenario.event("r");
        } else {
            mScenario.fleet().restartStore();
        }

        mScenario.askAt(mSecond, "other", "p,other");

        assertThat(mScenario.fleet().findings()).isEmpty();
    }

    /** A preempted run was read again under newer weights, and cached under its former salt. */
    @ParameterizedTest
    @EnumSource(Origin.class)
    void partsThatWereReadAgainUnderNewerWeightsWereFetchedUnderTheOlderSalt(Origin origin) {
        start(2, 2, true);
        mScenario.askAt(mFirst, "r", "p,own");
        mScenario.event("r");
        mScenario.name(3);
        mScenario.load(mFirst, 3);
        mScenario.fleet().restartStore();
        mScenario.preempt("r");
        if (origin == Origin.PEER) {
            mScenario.fleet().restartStore();
        } else {
            mScenario.tell(mFirst, false, 3);
        }

        mScenario.askAt(mSecond, "other", "p,other");

        assertThat(mScenario.fleet().findings()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRunMovesToAnEngineOfItsWeights(boolean hasRoom) {
        start(2, 2, true);
        mScenario.askAt(mFirst, "r", "p,own");
        mScenario.event("r");
        mScenario.name(3);
        mFirst.onStopped(!hasRoom, () -> {});

        mScenario.favour(mSecond);
        mScenario.tell(mFirst, true, 2);
        mScenario.event("r");

        assertThat(mScenario.fleet().engineOf("r")).hasValue(hasRoom ? mSecond : mFirst);
    }

    private void start(int engines, long version, boolean announced) {
        mScenario = new EngineScenario(engines, version, announced);
        mFirst = mScenario.engine(0);
        mSecond = mScenario.engine(1);
    }
}
