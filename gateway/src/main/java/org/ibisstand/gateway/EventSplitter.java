package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries, so that a caller never receives part
 * of an event that another backend server sends again, nor an event twice, nor text that is no
 * event.
 */
final class EventSplitter {
    private final int mMaximumEventBytes;
    private final String mWeightsField;
    private ByteBuf mIncompleteEvent = Unpooled.EMPTY_BUFFER;
    private final EventSequence mSequence = new EventSequence();
    private Optional<String> mLastWeights = Optional.empty();
    private Optional<String> mFault = Optional.empty();
    private boolean mHasEvents;
    private boolean mEndsAtIdentifier = true;

    /**
     * Creates a splitter.
     *
     * @param maximumEventBytes the size limit of an incomplete event
     * @param weightsField the name of the event field that reports a change of weights
     */
    EventSplitter(int maximumEventBytes, String weightsField) {
        mMaximumEventBytes = maximumEventBytes;
        mWeightsField = weightsField.toLowerCase(Locale.ROOT);
    }

    /** Returns the weights version of the last event that has the weights field. */
    Optional<String> lastWeights() {
        return mLastWeights;
    }

    /** Returns the identifier of the last complete event. */
    Optional<String> lastIdentifier() {
        return mSequence.last();
    }

    /** Returns whether no event came after the one with the last identifier. */
    boolean endsAtIdentifier() {
        return mEndsAtIdentifier;
    }

    /** Returns whether the current server has sent a complete event. */
    boolean hasEvents() {
        return mHasEvents;
    }

    /** Returns why the stream must not go on after the events returned so far, if it must not. */
    Optional<String> fault() {
        return isOverlong() ? Optional.of("overlong_event") : mFault;
    }

    /**
     * Appends bytes and returns all events that are complete now; the receiver releases them.
     *
     * @param bytes the next bytes of the stream; ownership stays with the sender
     * @return the complete events up to a fault; empty if there are none
     */
    ByteBuf takeCompleteEvents(ByteBuf bytes) {
        int scannedBytes = mIncompleteEvent.readableBytes();
        ByteBuf buffer =
                scannedBytes > 0 ? mIncompleteEvent : Unpooled.buffer(bytes.readableBytes());
        buffer.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        int end = endOfLastEvent(buffer, scannedBytes);
        if (end == 0) {
            mIncompleteEvent = buffer;
            return Unpooled.EMPTY_BUFFER;
        }
        int accepted = readBlocks(buffer, end);
        mIncompleteEvent =
                mFault.isPresent()
                        ? Unpooled.EMPTY_BUFFER
                        : buffer.copy(end, buffer.readableBytes() - end);
        return buffer.slice(0, accepted);
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasIncompleteEvent() {
        return mIncompleteEvent.isReadable();
    }

    /** Returns the bytes of memory allocated for the incomplete event. */
    int bufferedBytes() {
        return mIncompleteEvent.capacity();
    }

    private boolean isOverlong() {
        return mIncompleteEvent.readableBytes() > mMaximumEventBytes;
    }

    /** Drops the incomplete event: another server takes over and does not send its rest. */
    void restart() {
        mIncompleteEvent = Unpooled.EMPTY_BUFFER;
        mLastWeights = Optional.empty();
        mFault = Optional.empty();
        mHasEvents = false;
        mSequence.continueAtNextServer();
    }

    /** Returns the index after the last blank line that ends at or after an index; 0 if none. */
    private static int endOfLastEvent(ByteBuf bytes, int from) {
        for (int index = bytes.readableBytes() - 1; index >= from; index--) {
            if (bytes.getByte(index) == '\n' && endsBlankLine(bytes, index)) {
                return index + 1;
            }
        }
        return 0;
    }

    private static boolean endsBlankLine(ByteBuf bytes, int newline) {
        int before = newline - 1;
        if (before >= 0 && bytes.getByte(before) == '\r') {
            before--;
        }
        return before < 0 || bytes.getByte(before) == '\n';
    }

    /** Reads the blocks before an index and returns the index after the last one without fault. */
    private int readBlocks(ByteBuf bytes, int end) {
        int start = 0;
        for (int index = 0; index < end; index++) {
            if (bytes.getByte(index) == '\n' && endsBlankLine(bytes, index)) {
                String text = bytes.toString(start, index + 1 - start, StandardCharsets.UTF_8);
                mFault = readBlock(StreamBlock.parse(text, mWeightsField));
                if (mFault.isPresent()) {
                    return start;
                }
                start = index + 1;
            }
        }
        return start;
    }

    /** Reads one block and returns why it must not be forwarded, if it must not. */
    private Optional<String> readBlock(StreamBlock block) {
        return switch (block) {
            case StreamBlock.Event event -> readEvent(event);
            case StreamBlock.Comment comment -> Optional.empty();
            case StreamBlock.ForeignText text -> Optional.of("text_inside_stream");
        };
    }

    private Optional<String> readEvent(StreamBlock.Event event) {
        Optional<String> fault = event.identifier().flatMap(mSequence::append);
        if (fault.isEmpty()) {
            mHasEvents = true;
            mEndsAtIdentifier = event.identifier().isPresent();
            mLastWeights = event.weights().or(() -> mLastWeights);
        }
        return fault;
    }
}
