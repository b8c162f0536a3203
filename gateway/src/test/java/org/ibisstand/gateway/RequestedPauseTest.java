package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RequestedPauseTest {
    @ParameterizedTest
    @CsvSource({
        "2, 2000",
        "0.25, 250",
        ".5, 500",
        "2., 2000",
        "0.0001, 1",
        "1.0001, 1001",
        "007, 7000",
        "3600, 3600000",
        "86400, 3600000",
        "99999999999999999999999999, 3600000"
    })
    void aPauseLastsTheSecondsOfTheHeaderAndAnHourAtMost(String value, long milliseconds) {
        assertThat(read(value)).isEqualTo(new RequestedPause.Pause(milliseconds));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ".",
                "0",
                "0.000",
                "-1",
                "+1",
                "NaN",
                "Infinity",
                "0x10",
                "1e3",
                "2 s",
                "1,5",
                "1d",
                "Sun, 06 Nov 1994 08:49:37 GMT"
            })
    void otherValuesAreNoPause(String value) {
        assertThat(read(value)).isEqualTo(new RequestedPause.Unreadable(value));
    }

    @Test
    void theLongestOfSeveralValuesCounts() {
        assertThat(read("0.5", "soon", "2")).isEqualTo(new RequestedPause.Pause(2_000));
    }

    @Test
    void aRefusalWithoutTheHeaderIsNoPause() {
        assertThat(read()).isEqualTo(new RequestedPause.None());
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 202, 408, 429, 500, 502, 504})
    void otherStatusesAreNoPause(int status) {
        HttpResponse head = head(HttpResponseStatus.valueOf(status), List.of("2"));

        assertThat(RequestedPause.of(head)).isEqualTo(new RequestedPause.None());
    }

    private static RequestedPause read(String... values) {
        return RequestedPause.of(head(HttpResponseStatus.SERVICE_UNAVAILABLE, List.of(values)));
    }

    private static HttpResponse head(HttpResponseStatus status, List<String> values) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        head.headers().add(HttpHeaderNames.RETRY_AFTER, values);
        return head;
    }
}
