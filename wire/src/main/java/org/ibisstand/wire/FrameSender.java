package org.ibisstand.wire;

import org.ibisstand.wire.message.Frame;

/** Sends frames to a peer. */
@FunctionalInterface
public interface FrameSender {
    /**
     * Sends an answer or a follow-up.
     *
     * @param correlation of the request that it belongs to
     * @param frame the message
     */
    void send(long correlation, Frame.Builder frame);
}
