package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a caller.
 *
 * @param identifier names the attempt of the caller; empty if the caller gave none
 * @param method the HTTP method
 * @param uri path and query as the caller sent them
 * @param headers as the caller sent them
 * @param body the body, owned by whoever owns the request
 * @param arrivedMilliseconds when its head arrived
 */
record CallerRequest(
        String identifier,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        ByteBuf body,
        long arrivedMilliseconds) {
    String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
