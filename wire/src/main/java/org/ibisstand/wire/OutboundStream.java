package org.ibisstand.wire;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.ibisstand.wire.message.Chunk;
import org.ibisstand.wire.message.End;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.ResponseHead;

/**
 * The sending end of one answer: numbers its chunks and keeps them until they are acknowledged.
 *
 * <p>A stream that lost its connection can be attached to another one and goes on from the chunk
 * that the entry asks for. All methods may be called from any thread.
 */
public final class OutboundStream {
    private final long mIdentifier;
    private final int mBufferBytes;
    private final Deque<Chunk> mUnacknowledged = new ArrayDeque<>();
    private final CRC32C mChecksum = new CRC32C();
    private Optional<FrameSender> mSender;
    private long mCorrelation;
    private Optional<ResponseHead> mHead = Optional.empty();
    private Optional<Frame> mLast = Optional.empty();
    private long mNextSequence;
    private int mUnacknowledgedBytes;

    private OutboundStream(long identifier, int bufferBytes, FrameSender sender, long correlation) {
        mIdentifier = identifier;
        mBufferBytes = bufferBytes;
        mSender = Optional.of(sender);
        mCorrelation = correlation;
    }

    /**
     * Returns a stream that answers a request.
     *
     * @param identifier unique in this boot of the agent
     * @param bufferBytes how much may be unacknowledged before the source must pause
     * @param sender leads to where the request came from
     * @param correlation of the request
     */
    public static OutboundStream attachedTo(
            long identifier, int bufferBytes, FrameSender sender, long correlation) {
        return new OutboundStream(identifier, bufferBytes, sender, correlation);
    }

    /** Returns the number of the stream, unique in this run of the process. */
    public long identifier() {
        return mIdentifier;
    }

    /**
     * Begins the answer.
     *
     * @param head status and headers; the number of the stream is set here
     */
    public synchronized void head(ResponseHead.Builder head) {
        ResponseHead complete = head.setStream(mIdentifier).build();
        mHead = Optional.of(complete);
        send(Frame.newBuilder().setResponseHead(complete));
    }

    /**
     * Sends a chunk.
     *
     * @param bytes a part of the body
     * @return whether the source may go on
     */
    public synchronized boolean data(byte[] bytes) {
        mChecksum.update(bytes);
        Chunk chunk =
                Chunk.newBuilder()
                        .setSequence(mNextSequence++)
                        .setData(ByteString.copyFrom(bytes))
                        .build();
        mUnacknowledged.add(chunk);
        mUnacknowledgedBytes += bytes.length;
        send(Frame.newBuilder().setChunk(chunk));
        return mayContinue();
    }

    /**
     * Ends an answer that is whole.
     *
     * @param end what else is told; count and checksum are set here
     */
    public synchronized void end(End.Builder end) {
        end.setChunkCount(mNextSequence).setChecksum((int) mChecksum.getValue());
        finish(Frame.newBuilder().setEnd(end));
    }

    /**
     * Ends the stream with a failure; the chunks sent so far are no whole answer.
     *
     * @param failure why
     */
    public synchronized void fail(Frame.Builder failure) {
        finish(failure);
    }

    /**
     * Forgets chunks that arrived.
     *
     * @param nextSequence the first chunk that did not arrive
     * @return whether the source may go on
     */
    public synchronized boolean acknowledge(long nextSequence) {
        while (!mUnacknowledged.isEmpty()
                && mUnacknowledged.peekFirst().getSequence() < nextSequence) {
            mUnacknowledgedBytes -= mUnacknowledged.removeFirst().getData().size();
        }
        return mayContinue();
    }

    /**
     * Goes on over another connection.
     *
     * @param sender leads to where the answer goes from now on
     * @param correlation of the request to resume
     * @param nextSequence the first chunk that did not arrive
     */
    public synchronized void resume(FrameSender sender, long correlation, long nextSequence) {
        acknowledge(nextSequence);
        mSender = Optional.of(sender);
        mCorrelation = correlation;
        mHead.ifPresent(head -> send(Frame.newBuilder().setResponseHead(head)));
        for (Chunk chunk : mUnacknowledged) {
            send(Frame.newBuilder().setChunk(chunk));
        }
        mLast.ifPresent(last -> send(last.toBuilder()));
    }

    /**
     * Notes that a connection is gone.
     *
     * @param sender the connection
     * @return whether this stream was attached to it
     */
    public synchronized boolean detach(FrameSender sender) {
        boolean attached = mSender.filter(one -> one == sender).isPresent();
        if (attached) {
            mSender = Optional.empty();
        }
        return attached;
    }

    /** Returns whether the stream has no connection. */
    public synchronized boolean isDetached() {
        return mSender.isEmpty();
    }

    /** Returns whether the last frame of the answer was sent. */
    public synchronized boolean isEnded() {
        return mLast.isPresent();
    }

    /** Returns whether the end was sent and everything before it was acknowledged. */
    public synchronized boolean isDelivered() {
        return mLast.isPresent() && mUnacknowledged.isEmpty();
    }

    private void finish(Frame.Builder last) {
        if (mLast.isEmpty()) {
            mLast = Optional.of(last.build());
            send(last);
        }
    }

    private boolean mayContinue() {
        return mUnacknowledgedBytes < mBufferBytes;
    }

    private void send(Frame.Builder frame) {
        mSender.ifPresent(sender -> sender.send(mCorrelation, frame));
    }
}
