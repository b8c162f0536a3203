package org.ibisstand.base;

import java.util.List;
import java.util.regex.Pattern;

/** Reads the time in a Retry-After header of a server, in seconds that may have fractions. */
public final class RetryAfterHeader {
    /** Longer times count as this one; a server that meant more asks again at its end. */
    private static final double MAXIMUM_MILLISECONDS = 3_600_000;

    /** Digits and a fraction; not what else Java takes for a number. */
    private static final Pattern SECONDS = Pattern.compile("\\d+(\\.\\d*)?|\\.\\d+");

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private RetryAfterHeader() {}

    /** Returns the longest of the values in milliseconds; zero if none is a positive time. */
    public static long milliseconds(List<String> values) {
        return values.stream().mapToLong(RetryAfterHeader::milliseconds).max().orElse(0);
    }

    private static long milliseconds(String value) {
        if (!SECONDS.matcher(value).matches()) {
            return 0;
        }
        double milliseconds = Math.ceil(Double.parseDouble(value) * MILLISECONDS_PER_SECOND);
        return (long) Math.min(MAXIMUM_MILLISECONDS, milliseconds);
    }
}
