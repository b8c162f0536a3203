package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives what becomes of one request at one backend server; called on the traffic thread. */
interface ExchangeListener {
    /** The request was not written and never will be. */
    void notSent(String reason);

    /** The head of the answer arrived. */
    void head(HttpResponse head);

    /** A piece of the body arrived; it stays the caller's. */
    void data(ByteBuf data);

    /**
     * The answer is complete.
     *
     * @param framed whether the answer stated its end, rather than ending with its connection
     */
    void finished(boolean framed);

    /** The answer broke off, or never came; the request may have run. */
    void broken(String reason);
}
