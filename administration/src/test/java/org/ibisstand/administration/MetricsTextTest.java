package org.ibisstand.administration;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

class MetricsTextTest {
    @Test
    void writesOneNameAndValueALine() {
        MetricRegistry registry = new MetricRegistry();
        registry.counter("answers.200").inc(3);
        registry.registerGauge("share", () -> 0.25);
        registry.registerGauge("name", () -> "no number");
        registry.histogram("milliseconds").update(7);

        assertThat(MetricsText.of(registry))
                .isEqualTo(
                        "answers_200 3\nshare 0.250\nmilliseconds_count 1\n"
                                + "milliseconds_median 7\nmilliseconds_p99 7\n"
                                + "milliseconds_maximum 7\n");
    }
}
