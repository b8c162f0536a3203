package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries, so that a caller never receives part
 * of an event that another backend server sends again.
 */
final class EventSplitter {
    private static final String IDENTIFIER_FIELD = "id:";

    private final int mMaximumEventBytes;
    private final String mWeightsField;
    private ByteBuf mIncompleteEvent = Unpooled.EMPTY_BUFFER;
    private Optional<String> mLastIdentifier = Optional.empty();
    private Optional<String> mLastWeights = Optional.empty();

    /**
     * Creates a splitter.
     *
     * @param maximumEventBytes the size limit of an incomplete event
     * @param weightsField the name of the event field that reports a change of weights
     */
    EventSplitter(int maximumEventBytes, String weightsField) {
        mMaximumEventBytes = maximumEventBytes;
        mWeightsField = weightsField.toLowerCase(Locale.ROOT) + ':';
    }

    /** Returns the weights version of the last event that has the weights field. */
    Optional<String> lastWeights() {
        return mLastWeights;
    }

    /** Returns the identifier of the last complete event. */
    Optional<String> lastIdentifier() {
        return mLastIdentifier;
    }

    /**
     * Appends bytes and returns all events that are complete now; the receiver releases them.
     *
     * @param bytes the next bytes of the stream; ownership stays with the sender
     * @return the complete events; empty if there are none
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
        readFields(buffer, end);
        mIncompleteEvent = buffer.copy(end, buffer.readableBytes() - end);
        return buffer.slice(0, end);
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasIncompleteEvent() {
        return mIncompleteEvent.isReadable();
    }

    /** Returns the bytes of memory allocated for the incomplete event. */
    int bufferedBytes() {
        return mIncompleteEvent.capacity();
    }

    /** Returns whether the incomplete event exceeds the size limit. */
    boolean isOverlong() {
        return mIncompleteEvent.readableBytes() > mMaximumEventBytes;
    }

    /** Drops the incomplete event: another server takes over and does not send its rest. */
    void restart() {
        mIncompleteEvent = Unpooled.EMPTY_BUFFER;
        mLastWeights = Optional.empty();
    }

    /** Returns the index after the last blank line that ends at or after an index; 0 if none. */
    private static int endOfLastEvent(ByteBuf bytes, int from) {
        for (int index = bytes.readableBytes() - 1; index >= Math.max(1, from); index--) {
            if (bytes.getByte(index) == '\n' && endsBlankLine(bytes, index)) {
                return index + 1;
            }
        }
        return 0;
    }

    private static boolean endsBlankLine(ByteBuf bytes, int newline) {
        byte before = bytes.getByte(newline - 1);
        return before == '\n'
                || (before == '\r' && newline > 1 && bytes.getByte(newline - 2) == '\n');
    }

    private void readFields(ByteBuf bytes, int end) {
        String text = bytes.toString(0, end, StandardCharsets.UTF_8);
        mLastIdentifier = lastValue(text, IDENTIFIER_FIELD).or(() -> mLastIdentifier);
        mLastWeights = lastValue(text, mWeightsField).or(() -> mLastWeights);
    }

    private static Optional<String> lastValue(String text, String field) {
        int newline = text.lastIndexOf("\n" + field);
        int start = newline >= 0 ? newline + 1 : text.startsWith(field) ? 0 : -1;
        if (start < 0) {
            return Optional.empty();
        }
        return Optional.of(
                text.substring(start + field.length(), text.indexOf('\n', start)).strip());
    }
}
