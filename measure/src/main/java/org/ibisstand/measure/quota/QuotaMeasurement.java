package org.ibisstand.measure.quota;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import org.ibisstand.base.ManualClock;

/** What one contender did with one load over several seeds. */
public final class QuotaMeasurement {
    private static final int WINDOW_SECONDS = 8;
    private static final double BOUND_UNITS =
            (QuotaLoad.QUOTA.unitsPerSecond() * WINDOW_SECONDS + QuotaLoad.QUOTA.burst()) * 1.1
                    + 110_000;
    private static final int WINDOW_STEPS =
            (int) (WINDOW_SECONDS * 1_000 / QuotaLoad.STEP_MILLISECONDS);

    /** A second longer than the load, so that requests that arrived last are decided. */
    private static final int STEPS =
            (int) ((QuotaLoad.DURATION_MILLISECONDS + 1_000) / QuotaLoad.STEP_MILLISECONDS);

    /** Longer than the 2 s in which a new leader of control rebuilds its levels. */
    private static final Duration WARM_UP = Duration.ofSeconds(3);

    private final QuotaLoad mLoad;
    private long[][] mRunUnits = {};
    private int mStep;
    private long mUndecided;
    private double mWorstWindow;
    private long mInside;
    private long mRefusedInside;
    private long mRefusedStaying;

    private QuotaMeasurement(QuotaLoad load) {
        mLoad = load;
    }

    /**
     * Measures every contender on every load and prints the table.
     *
     * @param output receives the table
     * @param seeds how many seeds to run from one on
     */
    public static void printAll(PrintStream output, int seeds) {
        output.println(
                "| load | contender | worst window over bound | refused inside quota |"
                        + " of these, of teams that stay inside |");
        output.println("| --- | --- | --- | --- | --- |");
        for (QuotaLoad load : QuotaLoad.values()) {
            for (QuotaContender contender : QuotaContender.values()) {
                QuotaMeasurement result = of(contender, load, seeds);
                output.printf(
                        Locale.ROOT,
                        "| %s | %s | %.3f | %.5f (%d of %d) | %d |%n",
                        load.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                        contender.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                        result.worstWindow(),
                        result.refusedInsideShare(),
                        result.mRefusedInside,
                        result.mInside,
                        result.mRefusedStaying);
            }
        }
    }

    static QuotaMeasurement of(QuotaContender contender, QuotaLoad load, int seeds) {
        QuotaMeasurement measurement = new QuotaMeasurement(load);
        for (int seed = 1; seed <= seeds; seed++) {
            measurement.run(contender, load.arrivals(seed));
        }
        return measurement;
    }

    QuotaLoad load() {
        return mLoad;
    }

    /** Returns the most units that a team ran in a window of 8 s, over the bound. */
    double worstWindow() {
        return mWorstWindow;
    }

    /** Returns the share of requests that were refused among those within their team's quota. */
    double refusedInsideShare() {
        return (double) mRefusedInside / mInside;
    }

    /** Returns how many requests were refused of teams that are inside their quotas throughout. */
    long refusedOfTeamsThatStayInside() {
        return mRefusedStaying;
    }

    void decided(Arrival arrival, boolean isGranted) {
        mUndecided--;
        mInside += arrival.isInsideQuota() ? 1 : 0;
        mRefusedInside += arrival.isInsideQuota() && !isGranted ? 1 : 0;
        mRefusedStaying += arrival.teamStaysInside() && !isGranted ? 1 : 0;
        mRunUnits[arrival.team()][mStep] += isGranted ? arrival.units() : 0;
    }

    private void run(QuotaContender contender, List<Arrival> arrivals) {
        ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1_000));
        QuotaContender.Decision decision = contender.start(clock, this);
        clock.advance(WARM_UP);
        mRunUnits = new long[mLoad.teams()][STEPS];
        mUndecided = arrivals.size();
        int next = 0;
        for (mStep = 0; mStep < STEPS; mStep++) {
            long now = mStep * QuotaLoad.STEP_MILLISECONDS;
            while (next < arrivals.size() && arrivals.get(next).at() <= now) {
                decision.decide(arrivals.get(next));
                next++;
            }
            decision.step();
            clock.advance(Duration.ofMillis(QuotaLoad.STEP_MILLISECONDS));
        }
        if (mUndecided != 0) {
            throw new IllegalStateException(mUndecided + " requests were not decided");
        }
        for (long[] units : mRunUnits) {
            long window = 0;
            for (int step = 0; step < STEPS; step++) {
                window += units[step] - (step < WINDOW_STEPS ? 0 : units[step - WINDOW_STEPS]);
                mWorstWindow = Math.max(mWorstWindow, window / BOUND_UNITS);
            }
        }
    }
}
