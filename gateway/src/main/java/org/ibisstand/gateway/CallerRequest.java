package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a caller.
 *
 * @param identifier identifies one attempt of the caller; empty if the caller sent none
 * @param method the HTTP method
 * @param uri path and query as the caller sent them
 * @param headers as the caller sent them
 * @param body the body, which the owner of the request releases
 * @param arrivedMilliseconds when the head arrived, by the gateway's clock
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
