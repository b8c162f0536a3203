package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class RetryBudgetProperties {
    private static final int SHARES_PER_ATTEMPT = 8;
    private static final int MAXIMUM = 3;

    /** Counts in eighths of an attempt, which doubles hold exactly. */
    @Property(seed = "1", tries = 300)
    void grantsExactlyWhatANaiveCountGrants(@ForAll long seed) {
        Random random = new Random(seed);
        RetryBudget budget =
                RetryBudget.create(1.0 / SHARES_PER_ATTEMPT, 1, MAXIMUM, Instant.EPOCH);
        long eighths = MAXIMUM * SHARES_PER_ATTEMPT;
        long millisecond = 0;
        long counted = 0;
        for (int event = 0; event < 300; event++) {
            millisecond += random.nextInt(3) * 125L;
            eighths += (millisecond - counted) / 125;
            counted = millisecond;
            eighths = Math.min(eighths, MAXIMUM * SHARES_PER_ATTEMPT);
            if (random.nextInt(4) > 0) {
                boolean granted = budget.tryAcquire(Instant.ofEpochMilli(millisecond));
                assertThat(granted).isEqualTo(eighths >= SHARES_PER_ATTEMPT);
                eighths -= granted ? SHARES_PER_ATTEMPT : 0;
            } else {
                budget.tryAcquire(Instant.ofEpochMilli(millisecond));
                eighths -= eighths >= SHARES_PER_ATTEMPT ? SHARES_PER_ATTEMPT : 0;
                budget.recordSuccess();
                eighths = Math.min(eighths + 1, MAXIMUM * SHARES_PER_ATTEMPT);
            }
        }
    }
}
