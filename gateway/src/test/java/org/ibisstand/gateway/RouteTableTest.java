package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.ibisstand.settings.Route;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteTableTest {
    private final RouteTable mTable = RouteTable.of(Samples.configuration("/a/", "/a/b/", "/c/"));

    @ParameterizedTest
    @CsvSource({
        "h.example, /a/x, /a/",
        "H.Example:80, /a/b/x, /a/b/",
        "h.example, /a/b, /a/",
        "h.example, /a/b/, /a/b/",
        "h.example, /a, ''",
        "h.example, /ab/, ''",
        "other.example, /a/x, ''"
    })
    void takesTheLongestPrefixThatBeginsThePath(String host, String path, String prefix) {
        Optional<String> found = mTable.find(host, path).map(Route::pathPrefix);

        assertThat(found.orElse("")).isEqualTo(prefix);
    }
}
