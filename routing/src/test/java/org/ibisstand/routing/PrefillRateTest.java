package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PrefillRateTest {
    private static final double NORMAL_INTERVAL_MILLISECONDS = 20;

    private final PrefillRate mRate = new PrefillRate();
    private double mNow;

    private void prefill(double bytes, double milliseconds) {
        mRate.advance(mNow, bytes);
        mNow += milliseconds;
        mRate.advance(mNow, bytes);
        mRate.prefillCompleted(bytes);
    }

    private void generate(int tokens, double intervalMilliseconds) {
        for (int token = 0; token < tokens; token++) {
            mNow += intervalMilliseconds;
            mRate.advance(mNow, 0);
            mRate.tokenGenerated(mNow, intervalMilliseconds);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {2, 40, 500})
    void measuresTheRateFromFirstTokens(double bytesPerMillisecond) {
        for (int prompt = 0; prompt < 100; prompt++) {
            prefill(bytesPerMillisecond * 300, 300);
        }
        double error = mRate.bytesPerMillisecond(mNow) / bytesPerMillisecond - 1;
        assertThat(Math.abs(error)).isLessThan(0.05);
    }

    @Test
    void ignoresIdleTime() {
        double before = mRate.bytesPerMillisecond(mNow);
        mRate.advance(mNow, 0);
        mNow += 60_000;
        mRate.advance(mNow, 0);
        assertThat(mRate.bytesPerMillisecond(mNow)).isEqualTo(before);
    }

    @Test
    void fallsWhileOutstandingWorkIsOverdue() {
        double before = mRate.bytesPerMillisecond(mNow);
        mRate.advance(mNow, 1000);
        mNow += 10_000;
        mRate.advance(mNow, 1000);
        assertThat(mRate.bytesPerMillisecond(mNow)).isLessThan(before / 10);
    }

    @Test
    void followsASlowdownAndItsEndWithinAFewTokens() {
        generate(50, NORMAL_INTERVAL_MILLISECONDS);
        double normal = mRate.bytesPerMillisecond(mNow);
        generate(5, 5 * NORMAL_INTERVAL_MILLISECONDS);
        assertThat(mRate.bytesPerMillisecond(mNow)).isLessThan(normal / 3);
        generate(10, NORMAL_INTERVAL_MILLISECONDS);
        assertThat(mRate.bytesPerMillisecond(mNow)).isEqualTo(normal);
    }

    @Test
    void forgetsASlowdownIfNoTokensAreGenerated() {
        generate(50, NORMAL_INTERVAL_MILLISECONDS);
        double normal = mRate.bytesPerMillisecond(mNow);
        generate(10, 5 * NORMAL_INTERVAL_MILLISECONDS);
        assertThat(mRate.slowness(mNow)).isGreaterThan(3.0);
        assertThat(mRate.bytesPerMillisecond(mNow + 2000)).isEqualTo(normal);
    }
}
