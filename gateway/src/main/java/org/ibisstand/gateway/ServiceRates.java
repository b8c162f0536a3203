package org.ibisstand.gateway;

import java.time.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ibisstand.base.LogLine;
import org.ibisstand.routing.rates.EngineRates;
import org.ibisstand.routing.rates.Prefill;
import org.ibisstand.routing.rates.RateReport;

/**
 * Keeps the learned rates of the engines of each service, and reports them to operators. Confined
 * to the gateway's event loop.
 */
final class ServiceRates {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final Map<String, ReportedRates> mRatesByService = new HashMap<>();
    private final GatewayMetrics mMetrics;
    private final Clock mClock;

    ServiceRates(GatewayMetrics metrics, Clock clock) {
        mMetrics = metrics;
        mClock = clock;
        showLowestRate();
    }

    private record ReportedRates(EngineRates rates, RateReport report) {
        static ReportedRates create(Clock clock) {
            return new ReportedRates(
                    new EngineRates(clock),
                    new RateReport(EngineRates.INITIAL_TOKENS_PER_MILLISECOND, clock));
        }
    }

    /**
     * Returns how fast an engine works.
     *
     * @param server the engine
     * @param slowdownPercent as the engine recently reported; 100 if it did not
     */
    EngineSpeed speed(BackendServer server, int slowdownPercent) {
        ReportedRates known = mRatesByService.get(server.record().getService());
        if (known == null) {
            return new EngineSpeed(
                    EngineSpeed.USUAL.tokensPerMillisecond(),
                    EngineSpeed.USUAL.factor(),
                    slowdownPercent);
        }
        return new EngineSpeed(
                known.rates().tokensPerMillisecond(),
                known.rates().factor(server.name()),
                slowdownPercent);
    }

    /** Records a prompt that an engine of a service computed without a queue. */
    void record(String service, Prefill prefill) {
        ReportedRates observed =
                mRatesByService.computeIfAbsent(service, name -> ReportedRates.create(mClock));
        if (!observed.rates().record(prefill)) {
            return;
        }
        mMetrics.incrementCounter("prefill_observations");
        double rate = observed.rates().tokensPerMillisecond();
        if (observed.report().shouldReport(rate)) {
            LogLine.info("engine_rates")
                    .with("service", service)
                    .with("tokens_per_s", Math.round(rate * MILLISECONDS_PER_SECOND))
                    .with("server", prefill.engine())
                    .with(
                            "factor_percent",
                            Math.round(observed.rates().factor(prefill.engine()) * 100))
                    .write();
        }
        showLowestRate();
    }

    /** Forgets services and engines that are no longer listed. */
    void retain(Collection<BackendServer> servers) {
        Map<String, Set<String>> names =
                servers.stream()
                        .collect(
                                Collectors.groupingBy(
                                        server -> server.record().getService(),
                                        Collectors.mapping(
                                                BackendServer::name, Collectors.toSet())));
        mRatesByService.keySet().retainAll(names.keySet());
        mRatesByService.forEach(
                (service, known) -> known.rates().retainEngines(names.get(service)));
        showLowestRate();
    }

    private void showLowestRate() {
        double lowest =
                mRatesByService.values().stream()
                        .mapToDouble(known -> known.rates().tokensPerMillisecond())
                        .min()
                        .orElse(EngineRates.INITIAL_TOKENS_PER_MILLISECOND);
        mMetrics.setPrefillTokensPerSecond(Math.round(lowest * MILLISECONDS_PER_SECOND));
    }
}
