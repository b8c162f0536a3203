package org.ibisstand.measure;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TargetTest {
    @ParameterizedTest
    @CsvSource({
        "HIT_RATE,0.95,BEST_CLAIRVOYANT,0.76,true",
        "HIT_RATE,0.95,BEST_CLAIRVOYANT,0.75,false",
        "CREST_SHORT_P99,0.5,BEST_NAIVE,0.2,true",
        "CREST_SHORT_P99,0.5,BEST_NAIVE,0.21,false",
        "CREST_RECOVERY,2000,NOTHING,2000,true",
        "CREST_RECOVERY,2000,NOTHING,2001,false"
    })
    void isMetOnTheRightSideOfItsBound(
            Figure figure, double factor, Target.Against against, double value, boolean met) {
        Target target = new Target(figure, factor, against);
        double bound = target.bound(0.4, 0.8);
        assertThat(target.isMet(value, bound)).isEqualTo(met);
    }
}
