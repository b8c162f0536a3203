package org.ibisstand.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.ibisstand.base.ManualClock;

/** Checks the state of attempts against a reference model of a map and a set. */
class AttemptsProperties {
    enum Kind {
        SUBMIT,
        TOMBSTONE,
        EXPIRE
    }

    record Step(Kind kind, long claim) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(Arbitraries.of(Kind.class), Arbitraries.longs().between(1, 6))
                .as(Step::new)
                .list()
                .ofMaxSize(60);
    }

    @Property(seed = "1", tries = 500)
    void anAttemptRunsAtMostOnceAndNeverAfterItsTombstone(@ForAll("steps") List<Step> steps) {
        ManualClock clock = ManualClock.at(Instant.EPOCH);
        Attempts<String> attempts = Attempts.create(clock);
        Map<Long, Integer> runs = new HashMap<>();
        Set<Long> tombstoned = new HashSet<>();
        for (Step step : steps) {
            AttemptKey key = new AttemptKey(step.claim(), 1);
            switch (step.kind()) {
                case SUBMIT -> submit(attempts, key, runs, tombstoned);
                case TOMBSTONE -> {
                    if (attempts.find(key).isEmpty()) {
                        attempts.tombstone(key);
                        tombstoned.add(step.claim());
                    }
                }
                case EXPIRE -> attempts.removeExpired();
            }
        }
        runs.values().forEach(count -> assertThat(count).isEqualTo(1));
    }

    private static void submit(
            Attempts<String> attempts,
            AttemptKey key,
            Map<Long, Integer> runs,
            Set<Long> tombstoned) {
        switch (attempts.tryStart(key, "run")) {
            case Attempts.State.Started<String> started -> {
                assertThat(tombstoned).doesNotContain(key.claim());
                runs.merge(key.claim(), 1, Integer::sum);
            }
            case Attempts.State.Known<String> known -> assertThat(runs).containsKey(key.claim());
            case Attempts.State.Tombstoned<String> tombstone ->
                    assertThat(tombstoned).contains(key.claim());
        }
    }

    @Property(seed = "1", tries = 20)
    void endedAttemptsAreRemovedOnlyAfterTheRetentionPeriod(@ForAll boolean isExpired) {
        ManualClock clock = ManualClock.at(Instant.EPOCH);
        Attempts<String> attempts = Attempts.create(clock);
        AttemptKey key = new AttemptKey(1, 1);
        attempts.tryStart(key, "run");
        attempts.markEnded(key);
        clock.advance(Attempts.RETENTION.plusMillis(isExpired ? 1 : -1));
        attempts.removeExpired();
        assertThat(attempts.find(key).isEmpty()).isEqualTo(isExpired);
    }
}
