package org.ibisstand.gateway;

import java.util.Iterator;
import java.util.Optional;

/** The lines of a stream of server-sent events up to a blank line. */
sealed interface StreamBlock {
    /**
     * An event.
     *
     * @param identifier its identifier, if it has one
     * @param weights the weights version that the engine changed to at this event, if it did
     */
    record Event(Optional<String> identifier, Optional<String> weights) implements StreamBlock {}

    /** Only comments, which keep a connection open, or nothing. */
    record Comment() implements StreamBlock {}

    /** Text that is no event, such as the head of a response. */
    record ForeignText() implements StreamBlock {}

    /**
     * Parses a block. Fields with other names are allowed beside known ones, as long as they look
     * like fields and not like the headers of a response that was glued to a cut event.
     *
     * @param text the lines of the block
     * @param weightsField the name, in lower case, of the field that reports a change of weights
     */
    static StreamBlock parse(String text, String weightsField) {
        Optional<String> identifier = Optional.empty();
        Optional<String> weights = Optional.empty();
        boolean hasKnownFields = false;
        boolean hasOtherFields = false;
        boolean hasStatusLine = false;
        Iterator<String> lines = withoutByteOrderMark(text).lines().iterator();
        while (lines.hasNext()) {
            String line = lines.next();
            int colon = line.indexOf(':');
            hasStatusLine |= ResponseOwner.STATUS_LINE.matcher(line).find();
            if (line.isEmpty() || colon == 0) {
                continue;
            }
            String name = colon < 0 ? line : line.substring(0, colon);
            String value = colon < 0 ? "" : line.substring(colon + 1).strip();
            if (name.equals("id")) {
                identifier = Optional.of(value);
                hasKnownFields = true;
            } else if (name.equals(weightsField)) {
                weights = Optional.of(value);
                hasKnownFields = true;
            } else if (name.equals("data") || name.equals("event") || name.equals("retry")) {
                hasKnownFields = true;
            } else if (colon > 0 && isFieldName(name)) {
                hasOtherFields = true;
            } else {
                return new ForeignText();
            }
        }
        if (hasStatusLine && hasOtherFields) {
            return new ForeignText();
        }
        if (hasKnownFields) {
            return new Event(identifier, weights);
        }
        return hasOtherFields ? new ForeignText() : new Comment();
    }

    /** A stream may begin with a byte order mark. */
    private static String withoutByteOrderMark(String text) {
        return text.startsWith("\uFEFF") ? text.substring(1) : text;
    }

    private static boolean isFieldName(String name) {
        return name.chars()
                .allMatch(
                        character ->
                                Character.isLetterOrDigit(character)
                                        || character == '-'
                                        || character == '_');
    }
}
