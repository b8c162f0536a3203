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
    void findsTheLongestMatchingPathPrefix(String host, String path, String expectedPrefix) {
        Optional<String> foundPrefix = mTable.findRoute(host, path).map(Route::pathPrefix);

        assertThat(foundPrefix.orElse("")).isEqualTo(expectedPrefix);
    }
}
