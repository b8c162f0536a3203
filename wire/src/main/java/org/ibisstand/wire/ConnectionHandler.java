package org.ibisstand.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LoggedTask;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Heartbeat;
import org.tinylog.Logger;

/**
 * Joins one channel to its connection: greeting, heartbeats, answers and requests.
 *
 * <p>Heartbeats are sent while requests are open only, since a fleet of idle connections would
 * otherwise cost more than its work. A side that waits, or whose peer waits, closes the connection
 * once nothing has arrived for the silence limit.
 */
final class ConnectionHandler extends SimpleChannelInboundHandler<Frame> {
    private final WireContext mContext;
    private final FrameHandler mHandler;
    private final boolean mInitiator;
    private WireConnection mConnection;
    private boolean mGreeted;
    private boolean mReceivedSinceTick;
    private boolean mPeerWaiting;
    private boolean mToldWaiting;
    private long mSilentMilliseconds;
    private Optional<Future<?>> mTicks = Optional.empty();

    ConnectionHandler(WireContext context, FrameHandler handler, boolean initiator) {
        mContext = context;
        mHandler = handler;
        mInitiator = initiator;
    }

    @Override
    public void channelActive(ChannelHandlerContext channel) {
        mConnection = new WireConnection(channel.channel(), mInitiator);
        mConnection.send(0, Frame.newBuilder().setHello(mContext.hello()));
        mConnection.onWaiting(() -> startTicks(channel));
        // A stranger that connects and never greets must not stay.
        startTicks(channel);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channel, Frame frame) {
        if (frame.getProtocolVersion() != WireConnection.PROTOCOL_VERSION) {
            refuse(channel, "protocol version " + frame.getProtocolVersion() + " is unknown");
            return;
        }
        mReceivedSinceTick = true;
        switch (frame.getBodyCase()) {
            case HELLO -> greet(frame);
            case HEARTBEAT -> answerHeartbeat(channel, frame.getHeartbeat());
            case BODY_NOT_SET -> refuse(channel, "the message is empty or of an unknown kind");
            default -> deliver(channel, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext channel) {
        if (mConnection == null) {
            return;
        }
        stopTicks();
        mConnection.failWaiting();
        if (mGreeted) {
            mHandler.closed(mConnection);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
        if (cause instanceof DecoderException) {
            refuse(channel, "the frame cannot be decoded: " + cause.getMessage());
            return;
        }
        Logger.debug("event=connection_failed peer={} cause={}", channel.channel(), cause);
        channel.close();
    }

    private void greet(Frame frame) {
        mConnection.peerIs(frame.getHello());
        if (!mGreeted) {
            mGreeted = true;
            mHandler.opened(mConnection);
        }
    }

    private void answerHeartbeat(ChannelHandlerContext channel, Heartbeat heartbeat) {
        if (heartbeat.getReply()) {
            return;
        }
        mPeerWaiting = heartbeat.getWaiting();
        if (mPeerWaiting) {
            startTicks(channel);
        }
        sendHeartbeat(true);
    }

    private void startTicks(ChannelHandlerContext channel) {
        if (mTicks.isEmpty()) {
            mSilentMilliseconds = 0;
            mReceivedSinceTick = true;
            long interval = mContext.settings().heartbeatInterval().toMillis();
            mTicks =
                    Optional.of(
                            channel.executor()
                                    .scheduleAtFixedRate(
                                            LoggedTask.of("check_connection", () -> tick(channel)),
                                            interval,
                                            interval,
                                            TimeUnit.MILLISECONDS));
        }
    }

    private void stopTicks() {
        mTicks.ifPresent(ticks -> ticks.cancel(false));
        mTicks = Optional.empty();
    }

    private void tick(ChannelHandlerContext channel) {
        boolean waiting = mConnection.isWaiting();
        boolean silent = !mReceivedSinceTick && (waiting || mPeerWaiting || !mGreeted);
        mReceivedSinceTick = false;
        mSilentMilliseconds =
                silent
                        ? mSilentMilliseconds + mContext.settings().heartbeatInterval().toMillis()
                        : 0;
        if (mSilentMilliseconds >= mContext.settings().silenceLimit().toMillis()) {
            Logger.warn("event=connection_silent peer={}", channel.channel().remoteAddress());
            channel.close();
        } else if (waiting || mToldWaiting) {
            // The last heartbeat tells the peer that nothing is waited for any more.
            mToldWaiting = waiting;
            sendHeartbeat(false);
        } else if (!mPeerWaiting && mGreeted) {
            // An idle connection costs no timer; the next request starts it again.
            stopTicks();
        }
    }

    private void deliver(ChannelHandlerContext channel, Frame frame) {
        if (!mGreeted) {
            refuse(channel, "the first message must be a hello");
            return;
        }
        if (frame.getCorrelation() == 0 && frame.hasFailure()) {
            Logger.warn("event=refused_by_peer message={}", frame.getFailure().getMessage());
            channel.close();
            return;
        }
        if (!mConnection.deliverAnswer(frame)) {
            handle(frame);
        }
    }

    private void handle(Frame frame) {
        try {
            mHandler.received(mConnection, frame);
        } catch (IbisstandException e) {
            mConnection.send(frame.getCorrelation(), Failures.frameOf(e));
        }
    }

    private void sendHeartbeat(boolean reply) {
        Heartbeat heartbeat =
                Heartbeat.newBuilder().setReply(reply).setWaiting(mToldWaiting).build();
        mConnection.send(0, Frame.newBuilder().setHeartbeat(heartbeat));
    }

    private void refuse(ChannelHandlerContext channel, String message) {
        Logger.warn(
                "event=frame_invalid peer={} message={}",
                channel.channel().remoteAddress(),
                message);
        if (mConnection != null) {
            IbisstandException failure = new IbisstandException(ErrorCode.FRAME_INVALID, message);
            mConnection.send(0, Failures.frameOf(failure));
        }
        channel.close();
    }
}
