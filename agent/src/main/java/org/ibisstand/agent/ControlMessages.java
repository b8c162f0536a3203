package org.ibisstand.agent;

import java.util.Optional;
import java.util.concurrent.Executor;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.Frame;

/**
 * Takes what members of control send of their own accord: orders to the engine. Its receivers are
 * made after the connections, so a message that comes before them is refused.
 */
final class ControlMessages implements FrameHandler {
    private final Executor mControlThread;
    private volatile Optional<FrameHandler> mOrders = Optional.empty();
    private volatile Optional<Announcer> mAnnouncer = Optional.empty();

    ControlMessages(Executor controlThread) {
        mControlThread = controlThread;
    }

    void passOrdersTo(FrameHandler orders) {
        mOrders = Optional.of(orders);
    }

    void announceBy(Announcer announcer) {
        mAnnouncer = Optional.of(announcer);
    }

    @Override
    public void received(WireConnection connection, Frame frame) {
        if (!frame.hasEngineOrder() || mOrders.isEmpty()) {
            throw new IbisstandException(
                    ErrorCode.FRAME_INVALID, "an agent takes no such message from control");
        }
        mOrders.get().received(connection, frame);
    }

    /** A member that has just been reached learns of the agent at once. */
    @Override
    public void opened(WireConnection connection) {
        mAnnouncer.ifPresent(announcer -> mControlThread.execute(announcer::announce));
    }
}
