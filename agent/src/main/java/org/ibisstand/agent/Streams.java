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
 * Finds the open streams of the agent by connection and by number.
 *
 * <p>A stream whose connection went down waits for a resume; when none comes its request is given
 * up. All methods may be called from any thread.
 */
final class Streams {
    private record Place(WireConnection connection, long correlation) {}

    private final Map<Long, OutboundStream> mByNumber = new ConcurrentHashMap<>();
    private final Map<Place, OutboundStream> mByPlace = new ConcurrentHashMap<>();
    private final AtomicLong mNextNumber = new AtomicLong(1);
    private final int mBufferBytes;
    private final long mResumeMilliseconds;
    private final ScheduledExecutorService mControlThread;
    private final Consumer<OutboundStream> mAbandoned;

    Streams(
            int bufferBytes,
            long resumeMilliseconds,
            ScheduledExecutorService controlThread,
            Consumer<OutboundStream> abandoned) {
        mBufferBytes = bufferBytes;
        mResumeMilliseconds = resumeMilliseconds;
        mControlThread = controlThread;
        mAbandoned = abandoned;
    }

    OutboundStream open(WireConnection connection, long correlation) {
        OutboundStream stream =
                OutboundStream.attachedTo(
                        mNextNumber.getAndIncrement(), mBufferBytes, connection, correlation);
        mByNumber.put(stream.identifier(), stream);
        mByPlace.put(new Place(connection, correlation), stream);
        return stream;
    }

    Optional<OutboundStream> find(WireConnection connection, long correlation) {
        return Optional.ofNullable(mByPlace.get(new Place(connection, correlation)));
    }

    /** Attaches a stream to a new place; empty if it is not kept any more. */
    Optional<OutboundStream> resume(
            long number, WireConnection connection, long correlation, long nextSequence) {
        Optional<OutboundStream> found = Optional.ofNullable(mByNumber.get(number));
        found.ifPresent(
                stream -> {
                    mByPlace.values().remove(stream);
                    mByPlace.put(new Place(connection, correlation), stream);
                    stream.resume(connection, correlation, nextSequence);
                });
        return found;
    }

    void connectionClosed(WireConnection connection) {
        for (OutboundStream stream : mByNumber.values()) {
            if (stream.detach(connection)) {
                mControlThread.schedule(
                        () -> giveUpIfDetached(stream), mResumeMilliseconds, TimeUnit.MILLISECONDS);
            }
        }
        mByPlace.keySet().removeIf(place -> place.connection() == connection);
    }

    /** Forgets a stream that its reader has whole, or has closed. */
    void forget(OutboundStream stream) {
        mByNumber.remove(stream.identifier());
        mByPlace.values().remove(stream);
    }

    void forgetDelivered() {
        Iterator<OutboundStream> streams = mByNumber.values().iterator();
        while (streams.hasNext()) {
            OutboundStream stream = streams.next();
            if (stream.isDelivered()) {
                mByPlace.values().remove(stream);
                streams.remove();
            }
        }
    }

    int size() {
        return mByNumber.size();
    }

    private void giveUpIfDetached(OutboundStream stream) {
        if (stream.isDetached()) {
            forget(stream);
            mAbandoned.accept(stream);
        }
    }
}
