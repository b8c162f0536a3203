package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * Cuts the bytes of an event stream at the ends of whole events, so that a caller never gets a part
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
     * @param maximumEventBytes an unfinished event that is longer is overlong
     * @param weightsField the name of the line in an event that tells of other weights
     */
    EventSplitter(int maximumEventBytes, String weightsField) {
        mMaximumEventBytes = maximumEventBytes;
        mWeightsField = weightsField.toLowerCase(Locale.ROOT) + ':';
    }

    /** Returns the weights that the last event with such a line told of. */
    Optional<String> lastWeights() {
        return mLastWeights;
    }

    /** Returns the identifier of the last whole event. */
    Optional<String> lastIdentifier() {
        return mLastIdentifier;
    }

    /**
     * Takes bytes and returns all whole events that stand complete now; the receiver releases them.
     *
     * @param bytes the next bytes of the stream, which stay the sender's
     * @return empty bytes while no event is complete
     */
    ByteBuf take(ByteBuf bytes) {
        int known = mPartial.readableBytes();
        ByteBuf joined = known > 0 ? mPartial : Unpooled.buffer(bytes.readableBytes());
        joined.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        int end = endOfLastEvent(joined, known);
        if (end == 0) {
            mPartial = joined;
            return Unpooled.EMPTY_BUFFER;
        }
        noteFields(joined, end);
        mPartial = joined.copy(end, joined.readableBytes() - end);
        return joined.slice(0, end);
    }

    /** Returns whether bytes of an unfinished event are held. */
    boolean hasPartial() {
        return mPartial.isReadable();
    }

    /** Returns whether an unfinished event is longer than any event may be. */
    boolean isOverlong() {
        return mPartial.readableBytes() > mMaximumEventBytes;
    }

    /** Another server goes on: the rest of an unfinished event will not come. */
    void startsOver() {
        mPartial = Unpooled.EMPTY_BUFFER;
        mLastWeights = Optional.empty();
    }

    /** Returns the index behind the last blank line that ends in the bytes from an index on. */
    private static int endOfLastEvent(ByteBuf bytes, int from) {
        for (int index = bytes.readableBytes() - 1; index >= Math.max(1, from); index--) {
            if (bytes.getByte(index) == '\n' && isBlankBefore(bytes, index)) {
                return index + 1;
            }
        }
        return 0;
    }

    private static boolean isBlankBefore(ByteBuf bytes, int newline) {
        byte before = bytes.getByte(newline - 1);
        return before == '\n'
                || (before == '\r' && newline > 1 && bytes.getByte(newline - 2) == '\n');
    }

    private void noteFields(ByteBuf bytes, int end) {
        String text = bytes.toString(0, end, StandardCharsets.UTF_8);
        mLastIdentifier = lastValue(text, IDENTIFIER_FIELD).or(() -> mLastIdentifier);
        mLastWeights = lastValue(text, mWeightsField).or(() -> mLastWeights);
    }

    private static Optional<String> lastValue(String text, String field) {
        int found = text.lastIndexOf("\n" + field);
        int from = found >= 0 ? found + 1 : text.startsWith(field) ? 0 : -1;
        if (from < 0) {
            return Optional.empty();
        }
        return Optional.of(text.substring(from + field.length(), text.indexOf('\n', from)).strip());
    }
}
