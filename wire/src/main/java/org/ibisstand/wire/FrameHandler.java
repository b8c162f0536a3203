package org.ibisstand.wire;

import org.ibisstand.wire.message.Frame;

/** Receives what the peer of a connection sends of its own accord; called on the event loop. */
public interface FrameHandler {
    /**
     * Handles a request of the peer, or a follow-up to one, such as a cancel.
     *
     * @param connection where the frame came from; answers go back with its correlation
     * @param frame the message, never a heartbeat or hello
     */
    void received(WireConnection connection, Frame frame);

    /** Called once the peer has said who it is. */
    default void opened(WireConnection connection) {}

    /** Called once when the connection is gone; calls that waited on it have failed before. */
    default void closed(WireConnection connection) {}
}
