package org.ibisstand.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies headers from one connection to the next, without those that concern one of them only. */
final class HeaderCopy {
    private static final Set<String> CONNECTION_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length");

    private HeaderCopy() {}

    /**
     * Returns the headers that go on.
     *
     * @param headers as they came
     * @param dropped further names to leave out, in lower case
     */
    static HttpHeaders of(HttpHeaders headers, Set<String> dropped) {
        Set<String> named = namedByConnection(headers);
        HttpHeaders copy = new DefaultHttpHeaders(false);
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean stays =
                    CONNECTION_HEADERS.contains(name)
                            || dropped.contains(name)
                            || named.contains(name);
            if (!stays) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }

    private static Set<String> namedByConnection(HttpHeaders headers) {
        Set<String> names = new HashSet<>();
        List<String> values = headers.getAll(HttpHeaderNames.CONNECTION);
        for (String value : values) {
            for (String name : value.split(",")) {
                names.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
