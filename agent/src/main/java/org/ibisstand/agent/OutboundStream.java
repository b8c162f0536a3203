package org.ibisstand.agent;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.Chunk;
import org.ibisstand.wire.message.End;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.ResponseHead;

/**
 * The agent's end of one answer: numbers its chunks and keeps them until they are acknowledged.
 *
 * <p>A stream that lost its connection can be attached to another one and goes on from the chunk
 * that the entry asks for. All methods may be called from any thread.
 */
final class OutboundStream {
    private final long mIdentifier;
    private final int mBufferBytes;
    private final Deque<Chunk> mUnacknowledged = new ArrayDeque<>();
    private final CRC32C mChecksum = new CRC32C();
    private Optional<WireConnection> mConnection;
    private long mCorrelation;
    private Optional<ResponseHead> mHead = Optional.empty();
    private Optional<Frame> mLast = Optional.empty();
    private long mNextSequence;
    private int mUnacknowledgedBytes;

    private OutboundStream(
            long identifier, int bufferBytes, WireConnection connection, long correlation) {
        mIdentifier = identifier;
        mBufferBytes = bufferBytes;
        mConnection = Optional.of(connection);
        mCorrelation = correlation;
    }

    /**
     * Returns a stream that answers a request.
     *
     * @param identifier unique in this boot of the agent
     * @param bufferBytes how much may be unacknowledged before the source must pause
     * @param connection where the request came from
     * @param correlation of the request
     */
    static OutboundStream attachedTo(
            long identifier, int bufferBytes, WireConnection connection, long correlation) {
        return new OutboundStream(identifier, bufferBytes, connection, correlation);
    }

    long identifier() {
        return mIdentifier;
    }

    synchronized void head(ResponseHead.Builder head) {
        ResponseHead complete = head.setStream(mIdentifier).build();
        mHead = Optional.of(complete);
        send(Frame.newBuilder().setResponseHead(complete));
    }

    /** Sends a chunk and returns whether the source may go on. */
    synchronized boolean data(byte[] bytes) {
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

    synchronized void end(End.Builder end) {
        end.setChunkCount(mNextSequence).setChecksum((int) mChecksum.getValue());
        finish(Frame.newBuilder().setEnd(end));
    }

    /** Ends the stream with a failure; the chunks sent so far are no whole answer. */
    synchronized void fail(Frame.Builder failure) {
        finish(failure);
    }

    /** Forgets chunks that arrived and returns whether the source may go on. */
    synchronized boolean acknowledge(long nextSequence) {
        while (!mUnacknowledged.isEmpty()
                && mUnacknowledged.peekFirst().getSequence() < nextSequence) {
            mUnacknowledgedBytes -= mUnacknowledged.removeFirst().getData().size();
        }
        return mayContinue();
    }

    /** Goes on over another connection from a chunk that is still kept. */
    synchronized void resume(WireConnection connection, long correlation, long nextSequence) {
        acknowledge(nextSequence);
        mConnection = Optional.of(connection);
        mCorrelation = correlation;
        mHead.ifPresent(head -> send(Frame.newBuilder().setResponseHead(head)));
        for (Chunk chunk : mUnacknowledged) {
            send(Frame.newBuilder().setChunk(chunk));
        }
        mLast.ifPresent(last -> send(last.toBuilder()));
    }

    /** Notes that a connection is gone; returns whether this stream was attached to it. */
    synchronized boolean detach(WireConnection connection) {
        boolean attached = mConnection.filter(one -> one == connection).isPresent();
        if (attached) {
            mConnection = Optional.empty();
        }
        return attached;
    }

    synchronized boolean isDetached() {
        return mConnection.isEmpty();
    }

    synchronized boolean isEnded() {
        return mLast.isPresent();
    }

    /** Returns whether the end was sent and everything before it was acknowledged. */
    synchronized boolean isDelivered() {
        return mLast.isPresent() && mUnacknowledged.isEmpty();
    }

    synchronized boolean hasStarted() {
        return mHead.isPresent();
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
        mConnection.ifPresent(connection -> connection.send(mCorrelation, frame));
    }
}
