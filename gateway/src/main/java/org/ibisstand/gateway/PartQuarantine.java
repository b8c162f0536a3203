package org.ibisstand.gateway;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.ibisstand.base.Digests;
import org.ibisstand.base.LogLine;
import org.ibisstand.fleet.CrashEvidence;
import org.ibisstand.fleet.CrashReport;
import org.ibisstand.fleet.CrashReport.Acquittal;
import org.ibisstand.fleet.CrashReport.Crash;
import org.ibisstand.fleet.CrashReport.Incarnation;
import org.ibisstand.fleet.CrashReport.Suspect;
import org.ibisstand.fleet.CrashReportCodec;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.ServerRecord;

/**
 * Keeps parts of prompts that crash engines away from engines. Reports what this gateway sees to
 * the control plane, and applies what all gateways reported. Confined to the gateway's event loop.
 */
final class PartQuarantine {
    /** Callers choose the identifiers of parts; longer ones are replaced by their digest. */
    private static final int MAXIMUM_PART_LENGTH = 64;

    /** Bounds the traffic to members that know less, for instance after their restart. */
    private static final long RESEND_INTERVAL_MILLISECONDS = 5_000;

    private final BackendDirectory mDirectory;
    private final EngineProbe mProbe;
    private final Consumer<EngineNotices> mControl;
    private final GatewayMetrics mMetrics;
    private final Clock mClock;
    private final CrashSuspects mSuspects = new CrashSuspects();
    private final CrashEvidence mEvidence = new CrashEvidence();
    private Map<String, Set<String>> mQuarantined = Map.of();
    private long mNextResend;

    PartQuarantine(
            BackendDirectory directory,
            EngineProbe probe,
            Consumer<EngineNotices> control,
            GatewayMetrics metrics,
            Clock clock) {
        mDirectory = directory;
        mProbe = probe;
        mControl = control;
        mMetrics = metrics;
        mClock = clock;
        mNextResend = clock.millis();
    }

    /** Returns the quarantined part because of which the prompt is refused, if any. */
    Optional<String> quarantinedPart(Prompt prompt) {
        return mEvidence.quarantinedPart(parts(prompt), mClock.millis());
    }

    /** Returns whether a part of the prompt is a suspect of the crash of another engine. */
    boolean isSuspectElsewhere(Prompt prompt, BackendServer server) {
        long now = mClock.millis();
        return parts(prompt).stream()
                .anyMatch(part -> mEvidence.isSuspectElsewhere(part, incarnation(server), now));
    }

    /** Records that an engine responded to a prompt, which clears its parts. */
    void recordResponse(Prompt prompt) {
        List<String> parts = parts(prompt);
        mSuspects.recordResponse(parts);
        acquit(parts);
    }

    /** Records a request that failed before its first event. */
    void recordFailure(Prompt prompt, BackendServer server, long sentAt) {
        Incarnation engine = incarnation(server);
        if (!server.acceptsRequests()) {
            return;
        }
        if (mSuspects.recordFailure(
                engine, server.address(), parts(prompt), sentAt, mClock.millis())) {
            mProbe.check(server.address(), result -> probed(engine, result));
        }
        reportCrash(engine);
    }

    /** Looks for crashes in a new list of servers or new notices of agents. */
    void checkServers() {
        long now = mClock.millis();
        mSuspects
                .uncheckedEngines(now)
                .forEach(
                        (engine, address) -> {
                            if (mDirectory.servers().stream()
                                    .anyMatch(
                                            server -> provesCrash(server, engine, address, now))) {
                                recordCrash(engine);
                            }
                        });
    }

    /**
     * Returns whether a server is the engine and does not answer its own agent, or is a later
     * incarnation in its place.
     */
    private static boolean provesCrash(
            BackendServer server, Incarnation engine, Address address, long now) {
        boolean hasSamePlace =
                server.address().equals(address) || server.name().equals(engine.server());
        return incarnation(server).equals(engine)
                ? server.isUnreachable(now)
                : hasSamePlace && server.record().getBornMilliseconds() > engine.bornMilliseconds();
    }

    /** Applies the crash report in notices from the control plane, if there is one. */
    void receive(EngineNotices notices) {
        CrashReportCodec.decode(notices)
                .ifPresent(report -> receive(report, CrashReportCodec.isComplete(notices)));
    }

    private void receive(CrashReport report, boolean isComplete) {
        long now = mClock.millis();
        merge(report);
        acquit(mEvidence.suspects(now).stream().filter(mSuspects::isAcquitted).toList());
        if (isComplete && now >= mNextResend && mEvidence.isAheadOf(report, now)) {
            mNextResend = now + RESEND_INTERVAL_MILLISECONDS;
            mControl.accept(CrashReportCodec.encode(mEvidence.report(now)));
        }
    }

    private void probed(Incarnation engine, EngineProbe.Result result) {
        switch (result) {
            case ACCEPTED -> mSuspects.recordAlive(engine);
            case REFUSED -> recordCrash(engine);
            case UNKNOWN -> checkServers();
        }
    }

    private void recordCrash(Incarnation engine) {
        mSuspects.recordCrash(engine);
        reportCrash(engine);
    }

    private void reportCrash(Incarnation engine) {
        Optional<Crash> crash = mSuspects.crash(engine, mClock.millis());
        if (crash.isEmpty()) {
            return;
        }
        CrashReport report = new CrashReport(List.of(crash.get()), List.of());
        if (merge(report)) {
            LogLine.warning("parts_suspected")
                    .with("server", engine.server())
                    .with("born", engine.bornMilliseconds())
                    .with("requests", crash.get().suspects().stream().map(Suspect::parts).toList())
                    .write();
            mMetrics.incrementCounter("crashes_reported");
            mControl.accept(CrashReportCodec.encode(report));
        }
    }

    /** Clears those of the parts that are suspects, here and at all other gateways. */
    private void acquit(List<String> parts) {
        Set<String> suspects = mEvidence.suspects(mClock.millis());
        List<Acquittal> acquittals = new ArrayList<>();
        for (String part : parts) {
            if (suspects.contains(part)) {
                acquittals.add(new Acquittal(part, 0));
                LogLine.info("part_acquitted").with("part", part).write();
            }
        }
        if (!acquittals.isEmpty()) {
            CrashReport report = new CrashReport(List.of(), acquittals);
            merge(report);
            mControl.accept(CrashReportCodec.encode(report));
        }
    }

    private boolean merge(CrashReport report) {
        long now = mClock.millis();
        boolean hasNews = mEvidence.merge(report, now);
        Map<String, Set<String>> quarantined = mEvidence.quarantinedParts(now);
        quarantined.forEach(
                (part, companions) -> {
                    if (!companions.equals(mQuarantined.get(part))) {
                        LogLine.warning("part_quarantined")
                                .with("part", part)
                                .with("only_with", companions)
                                .write();
                    }
                });
        mQuarantined = quarantined;
        return hasNews;
    }

    private static Incarnation incarnation(BackendServer server) {
        ServerRecord record = server.record();
        return new Incarnation(record.getServer(), record.getBornMilliseconds());
    }

    private static List<String> parts(Prompt prompt) {
        return prompt.prefixParts().stream()
                .map(
                        part ->
                                part.length() <= MAXIMUM_PART_LENGTH
                                        ? part
                                        : Digests.hexadecimal(part))
                .toList();
    }
}
