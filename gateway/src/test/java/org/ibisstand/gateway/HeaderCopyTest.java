package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HeaderCopyTest {
    @ParameterizedTest
    @CsvSource({
        "Accept, true",
        "X-Named, false",
        "Connection, false",
        "Keep-Alive, false",
        "Transfer-Encoding, false",
        "Content-Length, false",
        "Upgrade, false",
        "X-Dropped, false",
        "Cookie, true"
    })
    void leavesOutWhatConcernsOneConnection(String name, boolean stays) {
        HttpHeaders headers =
                new DefaultHttpHeaders().add("Connection", "close, x-named").add(name, "v");

        HttpHeaders copy = HeaderCopy.of(headers, Set.of("x-dropped"));

        assertThat(copy.contains(name)).isEqualTo(stays);
    }
}
