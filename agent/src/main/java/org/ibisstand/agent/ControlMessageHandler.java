package org.ibisstand.agent;

import java.util.Optional;
import java.util.concurrent.Executor;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.Frame;

/**
 * Handles unsolicited messages from members of control, which are load orders. The order handler is
 * created after the connections, so a message that arrives before it is set is rejected.
 */
final class ControlMessageHandler implements FrameHandler {
    private final Executor mControlThread;
    private volatile Optional<FrameHandler> mOrderHandler = Optional.empty();
    private volatile Optional<Announcer> mAnnouncer = Optional.empty();

    ControlMessageHandler(Executor controlThread) {
        mControlThread = controlThread;
    }

    void setOrderHandler(FrameHandler handler) {
        mOrderHandler = Optional.of(handler);
    }

    void setAnnouncer(Announcer announcer) {
        mAnnouncer = Optional.of(announcer);
    }

    @Override
    public void received(WireConnection connection, Frame frame) {
        if (!frame.hasEngineOrder() || mOrderHandler.isEmpty()) {
            throw new IbisstandException(
                    ErrorCode.FRAME_INVALID,
                    "an agent accepts only engine orders from control, and none before it started");
        }
        mOrderHandler.get().received(connection, frame);
    }

    /** Announces the agent immediately to a member that it has just connected to. */
    @Override
    public void opened(WireConnection connection) {
        mAnnouncer.ifPresent(announcer -> mControlThread.execute(announcer::announce));
    }
}
