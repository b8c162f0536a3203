package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndToEndHeadersTest {
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
    void copiesOnlyEndToEndHeaders(String name, boolean isCopied) {
        HttpHeaders headers =
                new DefaultHttpHeaders().add("Connection", "close, x-named").add(name, "v");

        HttpHeaders copy = EndToEndHeaders.copyOf(headers, Set.of("x-dropped"));

        assertThat(copy.contains(name)).isEqualTo(isCopied);
    }
}
