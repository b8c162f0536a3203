package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.ibisstand.gateway.RequestTimeline.Step;
import org.ibisstand.settings.Route.Repetition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests where requests go while engines load new weights one after the other. */
class EngineLoadTest {
    private static final int REQUEST_COUNT = 10;

    private final EngineHarness mHarness = new EngineHarness(2, 1, true);
    private final VersionedEngine mFirst = mHarness.engine(0);
    private final VersionedEngine mSecond = mHarness.engine(1);

    @AfterEach
    void close() {
        mHarness.close();
    }

    /** Each run that a load reset counted as a failure of its engine. */
    @Test
    void anEngineThatResetItsRunsForALoadWasAvoidedAfterIt() {
        for (int index = 0; index < REQUEST_COUNT; index++) {
            mHarness.sendRequestTo(mFirst, "r" + index, "p,own-" + index);
            mHarness.sendEvent("r" + index);
        }
        mHarness.setOrderedVersion(2);
        mHarness.sendNotice(mFirst, true, 1);
        mHarness.resetRuns(mFirst);
        mHarness.beginLoad(mFirst);
        mFirst.completeLoad(2, LoadMode.RUNS_RESET);
        mHarness.sendNotice(mFirst, false, 2);

        assertThat(mHarness.sendRequestTo(mFirst, "next", "p,next")).isEqualTo(Step.ADMITTED);
        assertThat(mHarness.fleet().engineOf("next")).hasValue(mFirst);
    }

    @Test
    void longRunsDoNotBeginOnOutdatedWeights() {
        loadFirst();

        for (int index = 0; index < REQUEST_COUNT; index++) {
            String request = "r" + index;
            mHarness.sendRequest(
                    request, Repetition.STREAM, "p," + PromptHeader.LONG_RUN + "-" + index);
            assertThat(mHarness.fleet().engineOf(request)).hasValue(mFirst);
            while (mHarness.openRequests().contains(request)) {
                mHarness.sendEvent(request);
            }
        }
    }

    /** Otherwise the engines that have loaded would take the requests of all. */
    @Test
    void longRunsBeginOnOutdatedWeightsWhereOtherEnginesAreBusy() {
        loadFirst();

        mHarness.sendRequestTo(mSecond, "r", "p," + PromptHeader.LONG_RUN);

        assertThat(mHarness.fleet().engineOf("r")).hasValue(mSecond);
    }

    private void loadFirst() {
        mHarness.setOrderedVersion(2);
        mHarness.loadWeights(mFirst, 2);
        mHarness.sendNotice(mFirst, false, 2);
    }
}
