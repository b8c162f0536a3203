package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class RetryBudgetProperties {
    private static final int SHARES_PER_ATTEMPT = 8;
    private static final int CAPACITY = 3;

    /** Counts in eighths of an attempt, which a double represents exactly. */
    @Property(seed = "1", tries = 300)
    void matchesAReferenceCount(@ForAll long seed) {
        Random random = new Random(seed);
        RetryBudget budget =
                RetryBudget.create(1.0 / SHARES_PER_ATTEMPT, 1, CAPACITY, Instant.EPOCH);
        long eighths = CAPACITY * SHARES_PER_ATTEMPT;
        long millisecond = 0;
        long lastRefill = 0;
        for (int event = 0; event < 300; event++) {
            millisecond += random.nextInt(3) * 125L;
            eighths += (millisecond - lastRefill) / 125;
            lastRefill = millisecond;
            eighths = Math.min(eighths, CAPACITY * SHARES_PER_ATTEMPT);
            if (random.nextInt(4) > 0) {
                boolean granted = budget.tryAcquire(Instant.ofEpochMilli(millisecond));
                assertThat(granted).isEqualTo(eighths >= SHARES_PER_ATTEMPT);
                eighths -= granted ? SHARES_PER_ATTEMPT : 0;
            } else {
                budget.tryAcquire(Instant.ofEpochMilli(millisecond));
                eighths -= eighths >= SHARES_PER_ATTEMPT ? SHARES_PER_ATTEMPT : 0;
                budget.recordSuccess();
                eighths = Math.min(eighths + 1, CAPACITY * SHARES_PER_ATTEMPT);
            }
        }
    }
}
