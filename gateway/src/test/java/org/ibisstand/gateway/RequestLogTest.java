package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that end with their process and have no line in its log. */
class RequestLogTest {
    @ParameterizedTest
    @CsvSource({
        "event=placed request=r1 attempt=1, true",
        "event=request_done request=r1 status=200 outcome=answered, true",
        "event=request_done request=r1 status=200 outcome=streamed, true",
        "event=request_done request=r1 status=0 outcome=gateway_stops, false",
        "event=placed request=r1 draining_ms=12 attempt=1, false",
        "event=request_done request=r1 draining_ms=12 status=200 outcome=streamed, false",
    })
    void linesOfAStopAreNotTheFirstToDrop(String line, boolean isRoutine) {
        assertThat(GatewayDaemon.isRoutineLine(line)).isEqualTo(isRoutine);
    }
}
