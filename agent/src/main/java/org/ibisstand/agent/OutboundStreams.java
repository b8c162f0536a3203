package org.ibisstand.agent;

import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.ibisstand.wire.OutboundStream;
import org.ibisstand.wire.WireConnection;

/**
 * The open response streams of the agent, by identifier and by connection.
 *
 * <p>A stream whose connection closed waits to be resumed; if that does not happen in time, its
 * request is abandoned. All methods may be called from any thread.
 */
final class OutboundStreams {
    private record StreamKey(WireConnection connection, long correlation) {}

    private final Map<Long, OutboundStream> mByIdentifier = new ConcurrentHashMap<>();
    private final Map<StreamKey, OutboundStream> mByKey = new ConcurrentHashMap<>();
    private final AtomicLong mNextIdentifier = new AtomicLong(1);
    private final int mBufferBytes;
    private final long mResumeMilliseconds;
    private final ScheduledExecutorService mControlThread;
    private final Consumer<OutboundStream> mAbandonedListener;

    OutboundStreams(
            int bufferBytes,
            long resumeMilliseconds,
            ScheduledExecutorService controlThread,
            Consumer<OutboundStream> abandonedListener) {
        mBufferBytes = bufferBytes;
        mResumeMilliseconds = resumeMilliseconds;
        mControlThread = controlThread;
        mAbandonedListener = abandonedListener;
    }

    OutboundStream open(WireConnection connection, long correlation) {
        OutboundStream stream =
                OutboundStream.attachedTo(
                        mNextIdentifier.getAndIncrement(), mBufferBytes, connection, correlation);
        mByIdentifier.put(stream.identifier(), stream);
        mByKey.put(new StreamKey(connection, correlation), stream);
        return stream;
    }

    Optional<OutboundStream> find(WireConnection connection, long correlation) {
        return Optional.ofNullable(mByKey.get(new StreamKey(connection, correlation)));
    }

    /** Attaches a stream to a new connection; empty if the stream no longer exists. */
    Optional<OutboundStream> resume(
            long identifier, WireConnection connection, long correlation, long nextSequence) {
        Optional<OutboundStream> found = Optional.ofNullable(mByIdentifier.get(identifier));
        found.ifPresent(
                stream -> {
                    mByKey.values().remove(stream);
                    mByKey.put(new StreamKey(connection, correlation), stream);
                    stream.resume(connection, correlation, nextSequence);
                });
        return found;
    }

    void onConnectionClosed(WireConnection connection) {
        for (OutboundStream stream : mByIdentifier.values()) {
            if (stream.detach(connection)) {
                mControlThread.schedule(
                        () -> abandonIfDetached(stream),
                        mResumeMilliseconds,
                        TimeUnit.MILLISECONDS);
            }
        }
        mByKey.keySet().removeIf(key -> key.connection() == connection);
    }

    /** Removes a stream that was delivered completely or cancelled by its reader. */
    void remove(OutboundStream stream) {
        mByIdentifier.remove(stream.identifier());
        mByKey.values().remove(stream);
    }

    void removeDelivered() {
        Iterator<OutboundStream> streams = mByIdentifier.values().iterator();
        while (streams.hasNext()) {
            OutboundStream stream = streams.next();
            if (stream.isDelivered()) {
                mByKey.values().remove(stream);
                streams.remove();
            }
        }
    }

    int size() {
        return mByIdentifier.size();
    }

    private void abandonIfDetached(OutboundStream stream) {
        if (stream.isDetached()) {
            remove(stream);
            mAbandonedListener.accept(stream);
        }
    }
}
