package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PrefillSpeedTest {
    private static final double NORMAL_INTERVAL_MILLISECONDS = 20;

    private final PrefillSpeed mSpeed = new PrefillSpeed();
    private double mNow;

    private void prefill(double bytes, double milliseconds) {
        mSpeed.advance(mNow, bytes);
        mNow += milliseconds;
        mSpeed.advance(mNow, bytes);
        mSpeed.prefillCompleted(bytes);
    }

    private void generate(int tokens, double intervalMilliseconds) {
        for (int token = 0; token < tokens; token++) {
            mNow += intervalMilliseconds;
            mSpeed.advance(mNow, 0);
            mSpeed.tokenGenerated(mNow, intervalMilliseconds);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {2, 40, 500})
    void measuresTheRateFromFirstTokens(double bytesPerMillisecond) {
        for (int prompt = 0; prompt < 100; prompt++) {
            prefill(bytesPerMillisecond * 300, 300);
        }
        double error = mSpeed.bytesPerMillisecond(mNow) / bytesPerMillisecond - 1;
        assertThat(Math.abs(error)).isLessThan(0.05);
    }

    @Test
    void ignoresIdleTime() {
        double before = mSpeed.bytesPerMillisecond(mNow);
        mSpeed.advance(mNow, 0);
        mNow += 60_000;
        mSpeed.advance(mNow, 0);
        assertThat(mSpeed.bytesPerMillisecond(mNow)).isEqualTo(before);
    }

    @Test
    void fallsWhileOutstandingWorkIsOverdue() {
        double before = mSpeed.bytesPerMillisecond(mNow);
        mSpeed.advance(mNow, 1000);
        mNow += 10_000;
        mSpeed.advance(mNow, 1000);
        assertThat(mSpeed.bytesPerMillisecond(mNow)).isLessThan(before / 10);
    }

    @Test
    void followsASlowdownAndItsEndWithinAFewTokens() {
        generate(50, NORMAL_INTERVAL_MILLISECONDS);
        double normal = mSpeed.bytesPerMillisecond(mNow);
        generate(5, 5 * NORMAL_INTERVAL_MILLISECONDS);
        assertThat(mSpeed.bytesPerMillisecond(mNow)).isLessThan(normal / 3);
        generate(10, NORMAL_INTERVAL_MILLISECONDS);
        assertThat(mSpeed.bytesPerMillisecond(mNow)).isEqualTo(normal);
    }

    @Test
    void forgetsASlowdownIfNoTokensAreGenerated() {
        generate(50, NORMAL_INTERVAL_MILLISECONDS);
        double normal = mSpeed.bytesPerMillisecond(mNow);
        generate(10, 5 * NORMAL_INTERVAL_MILLISECONDS);
        assertThat(mSpeed.slowness(mNow)).isGreaterThan(3.0);
        assertThat(mSpeed.bytesPerMillisecond(mNow + 2000)).isEqualTo(normal);
    }
}
