package org.ibisstand.base;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.tinylog.Level;
import org.tinylog.Logger;

/**
 * One structured line of the log: an event and its values, each as {@code key=value}.
 *
 * <p>The configuration of tinylog puts time, level and process before it. Example:
 *
 * <pre>{@code
 * LogLine.info("request_done").request(name).team(team).verdict(verdict).write();
 * }</pre>
 */
public final class LogLine {
    private static final int FRAMES_SHOWN = 8;

    private final Level mLevel;
    private final StringBuilder mText = new StringBuilder();

    private LogLine(Level level, String event) {
        mLevel = level;
        with("event", event);
    }

    /**
     * Starts a line about the ordinary course of things.
     *
     * @param event a short name in snake case
     */
    public static LogLine info(String event) {
        return new LogLine(Level.INFO, event);
    }

    /**
     * Starts a line about something that an operator should look at in time.
     *
     * @param event a short name in snake case
     */
    public static LogLine warning(String event) {
        return new LogLine(Level.WARN, event);
    }

    /**
     * Starts a line about something that needs an operator.
     *
     * @param event a short name in snake case
     */
    public static LogLine error(String event) {
        return new LogLine(Level.ERROR, event);
    }

    /**
     * Adds a value.
     *
     * @param key a name in snake case
     * @param value its value, never a secret
     */
    public LogLine with(String key, Object value) {
        if (!mText.isEmpty()) {
            mText.append(' ');
        }
        mText.append(key).append('=').append(quoted(String.valueOf(value)));
        return this;
    }

    /** Adds the identifier of a request. */
    public LogLine request(String identifier) {
        return with("request", identifier);
    }

    /** Adds the name of a team. */
    public LogLine team(String name) {
        return with("team", name);
    }

    /** Adds an error code. */
    public LogLine code(ErrorCode code) {
        return with("code", code);
    }

    /** Adds a verdict, with its code if it has one. */
    public LogLine verdict(Verdict verdict) {
        with("verdict", verdict.label());
        return switch (verdict) {
            case Verdict.NotRun notRun -> code(notRun.code());
            case Verdict.MayHaveRun may -> code(may.code());
            case Verdict.Completed completed -> this;
        };
    }

    /** Adds what failed, with the first places that it passed through. */
    public LogLine cause(Throwable cause) {
        with("cause", cause);
        String frames =
                Arrays.stream(cause.getStackTrace())
                        .limit(FRAMES_SHOWN)
                        .map(StackTraceElement::toString)
                        .collect(Collectors.joining(","));
        return with("at", frames);
    }

    /** Writes the line. */
    public void write() {
        String text = mText.toString();
        switch (mLevel) {
            case ERROR -> Logger.error((Object) text);
            case WARN -> Logger.warn((Object) text);
            default -> Logger.info((Object) text);
        }
    }

    @Override
    public String toString() {
        return mText.toString();
    }

    private static String quoted(String value) {
        if (isPlain(value)) {
            return value;
        }
        StringBuilder text = new StringBuilder("\"");
        for (char character : value.toCharArray()) {
            switch (character) {
                case '"', '\\' -> text.append('\\').append(character);
                case '\n' -> text.append("\\n");
                default -> text.append(Character.isISOControl(character) ? ' ' : character);
            }
        }
        return text.append('"').toString();
    }

    private static boolean isPlain(String value) {
        for (int index = 0; index < value.length(); index++) {
            if (!isPlain(value.charAt(index))) {
                return false;
            }
        }
        return !value.isEmpty();
    }

    private static boolean isPlain(int character) {
        return character > ' ' && character != '"' && character != '=' && character != 0x7F;
    }
}
