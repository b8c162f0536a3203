package org.ibisstand.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies the end-to-end headers of a message and leaves out hop-by-hop ones. */
final class EndToEndHeaders {
    private static final Set<String> HOP_BY_HOP_HEADERS =
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

    private EndToEndHeaders() {}

    /**
     * Returns a copy of the headers to forward.
     *
     * @param headers the headers of the received message
     * @param excluded names of further headers to leave out, in lower case
     */
    static HttpHeaders copyOf(HttpHeaders headers, Set<String> excluded) {
        Set<String> connectionOptions = connectionOptions(headers);
        HttpHeaders copy = new DefaultHttpHeaders(false);
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean isExcluded =
                    HOP_BY_HOP_HEADERS.contains(name)
                            || excluded.contains(name)
                            || connectionOptions.contains(name);
            if (!isExcluded) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }

    private static Set<String> connectionOptions(HttpHeaders headers) {
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
