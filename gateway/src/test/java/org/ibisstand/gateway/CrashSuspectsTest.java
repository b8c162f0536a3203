package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.ibisstand.fleet.CrashReport.Crash;
import org.ibisstand.fleet.CrashReport.Incarnation;
import org.ibisstand.fleet.CrashReport.Suspect;
import org.ibisstand.settings.Address;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {
    private static final Incarnation ENGINE = new Incarnation("engine", 1);
    private static final Address ADDRESS = new Address("10.0.0.1", 1);
    private static final long NOW = 1_000;
    private static final long LATER = NOW + 10_000;

    private final CrashSuspects mSuspects = new CrashSuspects();

    @Test
    void aBrokenResponseAloneIsNoCrash() {
        assertThat(fail("part")).isTrue();

        assertThat(mSuspects.crash(ENGINE, NOW)).isEmpty();
        assertThat(mSuspects.uncheckedEngines(NOW)).containsExactly(ENGINE, ADDRESS);
    }

    @Test
    void anEngineThatStillRunsHasNoSuspects() {
        fail("part");
        mSuspects.recordAlive(ENGINE);
        mSuspects.recordCrash(ENGINE);

        assertThat(mSuspects.crash(ENGINE, NOW)).isEmpty();
    }

    @Test
    void theUnansweredPartsOfACrashedEngineAreSuspects() {
        mSuspects.recordResponse(List.of("answered"));
        fail("answered", "part");
        mSuspects.recordCrash(ENGINE);
        fail("other");

        assertThat(suspects(NOW)).containsExactly(Set.of("part"), Set.of("other"));
        assertThat(mSuspects.uncheckedEngines(NOW)).isEmpty();
    }

    @Test
    void aPartThatIsAnsweredAfterACrashIsNoSuspectOfIt() {
        fail("part", "other");
        mSuspects.recordCrash(ENGINE);
        mSuspects.recordResponse(List.of("part"));

        assertThat(suspects(NOW)).containsExactly(Set.of("other"));
    }

    @Test
    void oneConnectionChecksTheEngineOfManyFailures() {
        assertThat(fail("part")).isTrue();
        assertThat(fail("other")).isFalse();
    }

    @Test
    void requestsOfAnsweredPartsNeedNoCheck() {
        mSuspects.recordResponse(List.of("part"));

        assertThat(fail("part")).isFalse();
        assertThat(mSuspects.uncheckedEngines(NOW)).isEmpty();
    }

    @Test
    void aFailureIsForgottenIfNoCrashIsFoundInTime() {
        fail("part");
        mSuspects.recordCrash(ENGINE);

        assertThat(mSuspects.crash(ENGINE, LATER)).isEmpty();
    }

    @Test
    void answeredPartsAreBounded() {
        for (int index = 0; index <= CrashSuspects.MAXIMUM_ACQUITTED_PARTS; index++) {
            mSuspects.recordResponse(List.of("hot", "part-" + index));
        }

        assertThat(mSuspects.isAcquitted("hot")).isTrue();
        assertThat(mSuspects.isAcquitted("part-0")).isFalse();
        assertThat(mSuspects.isAcquitted("part-" + CrashSuspects.MAXIMUM_ACQUITTED_PARTS)).isTrue();
    }

    private boolean fail(String... parts) {
        return mSuspects.recordFailure(ENGINE, ADDRESS, List.of(parts), NOW, NOW);
    }

    private Set<Set<String>> suspects(long now) {
        Optional<Crash> crash = mSuspects.crash(ENGINE, now);
        return crash.map(Crash::suspects).orElse(Set.of()).stream()
                .map(Suspect::parts)
                .collect(Collectors.toSet());
    }
}
