package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Writes the response to one request of a caller; called on the event loop thread only. */
interface ResponseWriter {
    /** Sends a complete response and takes ownership of the body. */
    void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Sends the head of a response whose length is not known. */
    void sendHead(HttpResponseStatus status, HttpHeaders headers);

    /** Sends a chunk of the body and takes ownership of it. */
    void sendData(ByteBuf data);

    /** Marks the response as complete. */
    void finish();

    /** Closes the connection, which shows the caller that the response is incomplete. */
    void abort();

    /** Returns whether the caller reads data as fast as it is sent. */
    boolean isWritable();
}
