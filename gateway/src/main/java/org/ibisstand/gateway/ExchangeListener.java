package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the outcome of one request to a backend server, on the event loop thread. */
interface ExchangeListener {
    /** Called if the request was not sent and never will be. */
    void onNotSent(String reason);

    /** Called when the head of the response has arrived. */
    void onHead(HttpResponse head);

    /** Called with each chunk of the body; ownership stays with the sender. */
    void onData(ByteBuf data);

    /**
     * Called when the response is complete.
     *
     * @param delimited whether the response had a length or was chunked, rather than ending with
     *     its connection
     */
    void onComplete(boolean delimited);

    /** Called if the response is incomplete or missing; the request may have run. */
    void onFailure(String reason);
}
