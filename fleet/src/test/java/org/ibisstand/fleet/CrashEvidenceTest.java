package org.ibisstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.ibisstand.fleet.CrashReport.Acquittal;
import org.ibisstand.fleet.CrashReport.Crash;
import org.ibisstand.fleet.CrashReport.Incarnation;
import org.ibisstand.fleet.CrashReport.Suspect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CrashEvidenceTest {
    private static final long START = 5_000_000;
    private static final long MOMENT = CrashSuspect.MOMENT_MILLISECONDS;
    private static final String CRASHING = "crashing";
    private static final String SHARED = "shared";

    private final CrashEvidence mEvidence = new CrashEvidence();
    private long mNow = START;

    @Test
    void aSuspectOfCrashesAtThreeMomentsIsQuarantined() {
        mEvidence.merge(crash("a", CRASHING), START);
        mEvidence.merge(crash("b", CRASHING), START + MOMENT);

        assertThat(quarantined(START + MOMENT)).isEmpty();

        mEvidence.merge(crash("c", CRASHING), START + 2 * MOMENT);

        assertThat(quarantined(START + 2 * MOMENT)).containsExactly(CRASHING);
    }

    @Test
    void reportsOfManyGatewaysAboutOneCrashCountOnce() {
        for (int gateway = 0; gateway < 10; gateway++) {
            mEvidence.merge(crash("a", CRASHING), START + gateway * MOMENT);
        }

        assertThat(quarantined(START + 10 * MOMENT)).isEmpty();
    }

    @Test
    void enginesThatFailTogetherDoNotQuarantineAPart() {
        for (int engine = 0; engine < 40; engine++) {
            mEvidence.merge(crash("engine-" + engine, SHARED), START + engine);
        }

        assertThat(quarantined(START + MOMENT)).isEmpty();
    }

    /** Connections to machines without power break one by one, as the machines come back. */
    @Test
    void enginesThatLosePowerTogetherAndAreNoticedLaterDoNotQuarantineAPart() {
        for (int engine = 0; engine < 10; engine++) {
            long noticedAt = START + engine * 10 * MOMENT;
            Suspect request = new Suspect(Set.of(SHARED), noticedAt - START);
            mEvidence.merge(
                    new CrashReport(
                            List.of(new Crash(engine("engine-" + engine), 0, Set.of(request))),
                            List.of()),
                    noticedAt);
        }

        assertThat(quarantined(START + 100 * MOMENT)).isEmpty();
    }

    @Test
    void aPartThatAnEngineRespondedToIsNeverQuarantined() {
        mEvidence.merge(crash("a", CRASHING, SHARED), START);
        mEvidence.merge(acquittal(SHARED), START);
        mEvidence.merge(crash("b", CRASHING, SHARED), START + MOMENT);
        mEvidence.merge(crash("c", CRASHING, SHARED), START + 2 * MOMENT);

        assertThat(quarantined(START + 2 * MOMENT)).containsExactly(CRASHING);
    }

    @Test
    void aLateAcquittalEndsAQuarantine() {
        List.of("a", "b", "c")
                .forEach(engine -> mEvidence.merge(crash(engine, CRASHING), nextMoment()));
        mEvidence.merge(acquittal(CRASHING), mNow);

        assertThat(quarantined(mNow)).isEmpty();
        assertThat(mEvidence.suspects(mNow)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void theOrderAndNumberOfReportsDoNotMatter(long seed) {
        List<CrashReport> reports = new ArrayList<>();
        for (int index = 0; index < 20; index++) {
            long age = index * MOMENT / 2;
            reports.add(crash("engine-" + index, age, CRASHING, "part-" + index % 4));
        }
        reports.add(acquittal("part-1"));
        reports.addAll(reports);
        CrashEvidence shuffled = new CrashEvidence();
        reports.forEach(report -> mEvidence.merge(report, START));
        Collections.shuffle(reports, new Random(seed));
        reports.forEach(report -> shuffled.merge(report, START));

        assertThat(shuffled.quarantinedParts(START)).isEqualTo(mEvidence.quarantinedParts(START));
        assertThat(shuffled.isAheadOf(mEvidence.report(START), START)).isFalse();
        assertThat(mEvidence.isAheadOf(shuffled.report(START), START)).isFalse();
    }

    @Test
    void aProcessThatRestartedLearnsEverythingFromAnother() {
        List.of("a", "b", "c")
                .forEach(engine -> mEvidence.merge(crash(engine, CRASHING), nextMoment()));
        CrashEvidence restarted = new CrashEvidence();
        long otherClock = 7;

        assertThat(mEvidence.isAheadOf(restarted.report(otherClock), mNow)).isTrue();
        restarted.merge(mEvidence.report(mNow), otherClock);

        assertThat(restarted.quarantinedParts(otherClock)).containsExactly(CRASHING, Set.of());
    }

    @Test
    void anEchoOfKnownReportsIsNoNews() {
        mEvidence.merge(crash("a", CRASHING), START);
        mEvidence.merge(acquittal(SHARED), START);
        CrashReport echo = mEvidence.report(START);

        assertThat(mEvidence.merge(echo, START + 50)).isFalse();
    }

    @Test
    void crashesAndAcquittalsExpire() {
        mEvidence.merge(acquittal(SHARED), START);
        List.of("a", "b", "c")
                .forEach(engine -> mEvidence.merge(crash(engine, CRASHING), nextMoment()));
        long later = mNow + CrashEvidence.RETENTION_MILLISECONDS;

        assertThat(quarantined(later)).isEmpty();
        assertThat(mEvidence.report(later).isEmpty()).isTrue();
    }

    @Test
    void onlyAnotherEngineMakesAPartASuspectElsewhere() {
        mEvidence.merge(crash("a", CRASHING), START);

        assertThat(mEvidence.isSuspectElsewhere(CRASHING, engine("a"), START)).isFalse();
        assertThat(mEvidence.isSuspectElsewhere(CRASHING, engine("b"), START)).isTrue();
        assertThat(mEvidence.isSuspectElsewhere(SHARED, engine("b"), START)).isFalse();
    }

    @Test
    void memoryIsBounded() {
        Set<Suspect> requests =
                IntStream.range(0, 2 * CrashEvidence.MAXIMUM_SUSPECTS)
                        .mapToObj(index -> new Suspect(Set.of("part-" + index), 0))
                        .collect(Collectors.toSet());
        for (int index = 0; index < 2 * CrashEvidence.MAXIMUM_CRASHES; index++) {
            Crash crash = new Crash(engine("engine-" + index), 0, requests);
            mEvidence.merge(new CrashReport(List.of(crash), List.of()), START + index);
        }
        for (int index = 0; index < 2 * CrashEvidence.MAXIMUM_ACQUITTALS; index++) {
            mEvidence.merge(acquittal("other-" + index), START);
        }

        CrashReport report = mEvidence.report(START);
        assertThat(report.crashes()).hasSize(CrashEvidence.MAXIMUM_CRASHES);
        assertThat(report.crashes().getFirst().suspects()).hasSize(CrashEvidence.MAXIMUM_SUSPECTS);
        assertThat(report.acquittals()).hasSize(CrashEvidence.MAXIMUM_ACQUITTALS);
    }

    @Test
    void theTotalOfSuspectPartsIsBounded() {
        Set<String> large =
                IntStream.rangeClosed(1, CrashEvidence.MAXIMUM_SUSPECT_PARTS)
                        .mapToObj(index -> "part-" + index)
                        .collect(Collectors.toSet());
        Crash first = new Crash(engine("a"), 0, Set.of(new Suspect(large, 0)));
        mEvidence.merge(new CrashReport(List.of(first), List.of()), START);

        assertThat(mEvidence.merge(crash("a", CRASHING), START)).isFalse();
    }

    /** Of two parts that always occurred together, either one may be the cause. */
    @Test
    void partsThatAlwaysFailedTogetherAreRefusedOnlyTogether() {
        List.of("a", "b", "c")
                .forEach(engine -> mEvidence.merge(crash(engine, CRASHING, SHARED), nextMoment()));

        assertThat(mEvidence.quarantinedPart(List.of(SHARED, CRASHING, "own"), mNow)).isPresent();
        assertThat(mEvidence.quarantinedPart(List.of(SHARED, "own"), mNow)).isEmpty();
        assertThat(mEvidence.quarantinedPart(List.of(CRASHING, "own"), mNow)).isEmpty();
    }

    @Test
    void aRequestWithOneOfTheCompanionsTellsWhichPartCrashesEngines() {
        List.of("a", "b", "c")
                .forEach(engine -> mEvidence.merge(crash(engine, CRASHING, SHARED), nextMoment()));
        CrashEvidence afterSuccess = new CrashEvidence();
        afterSuccess.merge(mEvidence.report(mNow), mNow);
        afterSuccess.merge(acquittal(SHARED), mNow);
        mEvidence.merge(crash("d", CRASHING, "other"), nextMoment());

        assertThat(afterSuccess.quarantinedPart(List.of(CRASHING), mNow)).hasValue(CRASHING);
        assertThat(mEvidence.quarantinedPart(List.of(CRASHING), mNow)).hasValue(CRASHING);
        assertThat(mEvidence.quarantinedPart(List.of(SHARED), mNow)).isEmpty();
    }

    /** A caller who adds the part of another to its prompts must not get that part refused. */
    @Test
    void aCallerCannotHaveThePartOfAnotherRefused() {
        for (int engine = 0; engine < 10; engine++) {
            mEvidence.merge(crash("engine-" + engine, CRASHING, "victim"), nextMoment());
        }

        assertThat(mEvidence.quarantinedPart(List.of("victim", "own"), mNow)).isEmpty();
        assertThat(mEvidence.quarantinedPart(List.of("victim", CRASHING), mNow)).isPresent();
    }

    @Test
    void requestsThatWaitedAtTheSameEnginesAreNoCompanions() {
        for (String engine : List.of("a", "b", "c")) {
            mEvidence.merge(crash(engine, CRASHING), nextMoment());
            mEvidence.merge(crash(engine, "waiting-" + engine), mNow);
        }

        assertThat(quarantined(mNow)).containsExactly(CRASHING);
        assertThat(mEvidence.quarantinedPart(List.of(CRASHING), mNow)).isPresent();
    }

    private Set<String> quarantined(long now) {
        return mEvidence.quarantinedParts(now).keySet();
    }

    private long nextMoment() {
        mNow += MOMENT;
        return mNow;
    }

    private static CrashReport crash(String server, String... suspects) {
        return crash(server, 0, suspects);
    }

    private static CrashReport crash(String server, long ageMilliseconds, String... suspects) {
        return new CrashReport(
                List.of(
                        new Crash(
                                engine(server),
                                ageMilliseconds,
                                Set.of(new Suspect(Set.of(suspects), ageMilliseconds)))),
                List.of());
    }

    private static CrashReport acquittal(String part) {
        return new CrashReport(List.of(), List.of(new Acquittal(part, 0)));
    }

    private static Incarnation engine(String server) {
        return new Incarnation(server, 1);
    }
}
