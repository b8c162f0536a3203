package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Where the answer to one request of a caller goes; for the traffic thread only. */
interface CallerAnswer {
    /** Sends a whole answer; ownership of the body passes. */
    void whole(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Begins an answer whose length is not known. */
    void begin(HttpResponseStatus status, HttpHeaders headers);

    /** Sends a piece of the body; ownership passes. */
    void data(ByteBuf data);

    /** Ends an answer that is complete. */
    void end();

    /** Closes the connection, so that the answer is seen to be incomplete. */
    void breakOff();

    /** Returns whether the caller takes data as fast as it is sent. */
    boolean isWritable();
}
