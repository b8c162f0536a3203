package org.ibisstand.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Hello;

/**
 * One open connection to a peer process, which both sides may send requests over.
 *
 * <p>The side that connected numbers its requests oddly and the other evenly, so that an answer is
 * never taken for a request. An answer to a request that is closed already is dropped.
 */
public final class WireConnection implements FrameSender {
    /** The version of the frames that this library writes and accepts. */
    public static final int PROTOCOL_VERSION = 1;

    private static final int CORRELATION_STEP = 2;

    private final Channel mChannel;
    private final boolean mInitiator;
    private final AtomicLong mNextCorrelation;
    private final Map<Long, AnswerHandler> mWaiting = new HashMap<>();
    private final AtomicLong mLateAnswers = new AtomicLong();
    private volatile Hello mPeer;
    private Runnable mOnWaiting = () -> {};
    private boolean mWatched;

    WireConnection(Channel channel, boolean initiator) {
        mChannel = channel;
        mInitiator = initiator;
        mNextCorrelation = new AtomicLong(initiator ? 1 : CORRELATION_STEP);
    }

    /** Returns who the peer said it is, once it has. */
    public Optional<Hello> peer() {
        return Optional.ofNullable(mPeer);
    }

    /** Returns whether frames can be sent. */
    public boolean isOpen() {
        return mChannel.isActive();
    }

    /** Returns whether the peer takes frames as fast as they are sent. */
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    /** Returns how many answers came after their request was closed. */
    public long lateAnswers() {
        return mLateAnswers.get();
    }

    /** Returns the event loop that all handlers of this connection run on. */
    public EventLoop eventLoop() {
        return mChannel.eventLoop();
    }

    /** Returns the address of the peer. */
    public SocketAddress remoteAddress() {
        return mChannel.remoteAddress();
    }

    /**
     * Sends a request that has one answer.
     *
     * @param request the request; its correlation is set here
     * @param timeout how long to wait
     * @return the answer; fails with DEADLINE_EXCEEDED, CONNECTION_LOST, AGENT_UNREACHABLE, or the
     *     code of a Failure frame
     */
    public CompletableFuture<Frame> call(Frame.Builder request, Duration timeout) {
        CompletableFuture<Frame> answer = new CompletableFuture<>();
        long correlation = open(request, new SingleAnswer(answer));
        Future<?> timer =
                eventLoop()
                        .schedule(
                                () -> answer.completeExceptionally(timeoutAfter(timeout)),
                                timeout.toMillis(),
                                TimeUnit.MILLISECONDS);
        answer.whenComplete(
                (frame, failure) -> {
                    timer.cancel(false);
                    closeRequest(correlation);
                });
        return answer;
    }

    /**
     * Sends a request that may have several answers.
     *
     * @param request the request; its correlation is set here
     * @param handler receives the answers until {@link #closeRequest}
     * @return the correlation, for follow-ups and for closing the request
     */
    public long open(Frame.Builder request, AnswerHandler handler) {
        long correlation = mNextCorrelation.getAndAdd(CORRELATION_STEP);
        Frame frame = complete(request, correlation);
        runOnEventLoop(() -> openOnEventLoop(correlation, frame, handler));
        return correlation;
    }

    /**
     * Stops waiting for answers to a request.
     *
     * @param correlation as returned by {@link #open}
     */
    public void closeRequest(long correlation) {
        runOnEventLoop(() -> mWaiting.remove(correlation));
    }

    @Override
    public void send(long correlation, Frame.Builder frame) {
        write(complete(frame, correlation));
    }

    /**
     * Sends a frame that the sender counts until it is written.
     *
     * @param correlation the request that the frame belongs to
     * @param frame the frame; its correlation is set here
     * @param onWritten runs on any thread once the frame has left this process or is dropped
     */
    public void send(long correlation, Frame.Builder frame, Runnable onWritten) {
        mChannel.writeAndFlush(complete(frame, correlation))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                .addListener(written -> onWritten.run());
    }

    /**
     * Looks for silence from now on as if a request were always open, for messages that nobody
     * answers.
     */
    public void watch() {
        runOnEventLoop(
                () -> {
                    mWatched = true;
                    mOnWaiting.run();
                });
    }

    /** Closes the connection; requests that wait on it fail. */
    public void close() {
        mChannel.close();
    }

    /** Sets what runs with each request that begins to wait; for the event loop only. */
    void onWaiting(Runnable action) {
        mOnWaiting = action;
    }

    void peerIs(Hello hello) {
        mPeer = hello;
    }

    /** Returns whether this side waits for answers; for the event loop only. */
    boolean isWaiting() {
        return mWatched || !mWaiting.isEmpty();
    }

    /** Returns whether the frame answered a request of this side, late or not. */
    boolean deliverAnswer(Frame frame) {
        if (!isOwnCorrelation(frame.getCorrelation())) {
            return false;
        }
        AnswerHandler handler = mWaiting.get(frame.getCorrelation());
        if (handler == null) {
            mLateAnswers.incrementAndGet();
        } else {
            handler.answered(frame);
        }
        return true;
    }

    void failWaiting() {
        List<AnswerHandler> waiting = List.copyOf(mWaiting.values());
        mWaiting.clear();
        IbisstandException cause =
                new IbisstandException(ErrorCode.CONNECTION_LOST, "connection closed");
        waiting.forEach(handler -> handler.lost(cause));
    }

    private void openOnEventLoop(long correlation, Frame frame, AnswerHandler handler) {
        if (!mChannel.isActive()) {
            String message = "connection closed before the request was sent";
            handler.lost(new IbisstandException(ErrorCode.AGENT_UNREACHABLE, message));
            return;
        }
        mWaiting.put(correlation, handler);
        mOnWaiting.run();
        write(frame);
    }

    private void write(Frame frame) {
        mChannel.writeAndFlush(frame).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    private void runOnEventLoop(Runnable task) {
        if (eventLoop().inEventLoop()) {
            task.run();
        } else {
            eventLoop().execute(task);
        }
    }

    private boolean isOwnCorrelation(long correlation) {
        boolean odd = correlation % CORRELATION_STEP != 0;
        return correlation != 0 && odd == mInitiator;
    }

    private static Frame complete(Frame.Builder frame, long correlation) {
        return frame.setProtocolVersion(PROTOCOL_VERSION).setCorrelation(correlation).build();
    }

    private static IbisstandException timeoutAfter(Duration timeout) {
        String message = "no answer in " + timeout.toMillis() + " ms";
        return new IbisstandException(ErrorCode.DEADLINE_EXCEEDED, message);
    }
}
