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
    private ByteBuf mPartial = Unpooled.EMPTY_BUFFER;
    private Optional<String> mLastIdentifier = Optional.empty();
    private Optional<String> mLastWeights = Optional.empty();

    /**
     * Creates a splitter.
     *
     * @param maximumEventBytes the longest unfinished event that is not overlong
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

    /** Returns the identifier of the last whole event. */
    Optional<String> lastIdentifier() {
        return mLastIdentifier;
    }

    /**
     * Appends bytes and returns all events that are complete now; the receiver releases them.
     *
     * @param bytes the next bytes of the stream; ownership stays with the sender
     * @return the complete events; empty if there are none
     */
    ByteBuf takeWholeEvents(ByteBuf bytes) {
        int scannedBytes = mPartial.readableBytes();
        ByteBuf buffer = scannedBytes > 0 ? mPartial : Unpooled.buffer(bytes.readableBytes());
        buffer.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        int end = endOfLastEvent(buffer, scannedBytes);
        if (end == 0) {
            mPartial = buffer;
            return Unpooled.EMPTY_BUFFER;
        }
        readFields(buffer, end);
        mPartial = buffer.copy(end, buffer.readableBytes() - end);
        return buffer.slice(0, end);
    }

    /** Returns whether bytes of an unfinished event are buffered. */
    boolean hasPartialEvent() {
        return mPartial.isReadable();
    }

    /** Returns whether the unfinished event exceeds the size limit. */
    boolean isOverlong() {
        return mPartial.readableBytes() > mMaximumEventBytes;
    }

    /** Drops the unfinished event, whose rest will not come as another server takes over. */
    void restart() {
        mPartial = Unpooled.EMPTY_BUFFER;
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
