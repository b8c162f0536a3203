package org.ibisstand.settings;

/**
 * A limit on what a team may use at all gateways together.
 *
 * @param unitsPerSecond the units that may be used per second; zero means no limit
 * @param burst the units that may be used at once after a pause
 * @param unit what is counted
 * @param defaultTokens what a request counts, in tokens, if its caller declares no maximum of
 *     output tokens; only for {@link Unit#TOKEN}
 */
public record TeamQuota(double unitsPerSecond, double burst, Unit unit, int defaultTokens) {
    /** What a quota counts. */
    public enum Unit {
        /** Each request counts one unit. */
        REQUEST,
        /** A request counts its prompt tokens and its maximum of output tokens. */
        TOKEN
    }

    /** Returns whether the quota limits anything. */
    public boolean hasLimit() {
        return unitsPerSecond > 0;
    }
}
