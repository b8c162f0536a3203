package org.ibisstand.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.routing.quota.QuotaLedger;
import org.ibisstand.settings.RoutingConfiguration;
import org.ibisstand.settings.RoutingConfiguration.TeamKeys;
import org.ibisstand.settings.RoutingConfigurationReader;
import org.ibisstand.settings.TeamQuota;

/**
 * Reads the quotas of the routing configuration in force, once for each version; a configuration
 * may have megabytes.
 */
final class QuotaReader {
    private final RoutingConfigurationReader mReader = RoutingConfigurationReader.create();
    private long mVersion;
    private Optional<Map<String, TeamQuota>> mQuotas = Optional.of(Map.of());

    /**
     * Puts the quotas in force into a ledger if they changed or if the ledger has none yet.
     *
     * @throws IbisstandException with CONFIGURATION_INVALID if the first configuration of this
     *     process cannot be read, as gateways must not take its teams for unlimited
     */
    void readIfChanged(CurrentRouting routing, QuotaLedger ledger, boolean isConfigured) {
        boolean isNew = routing.version() != mVersion;
        if (isNew) {
            mVersion = routing.version();
            read(routing);
        }
        Map<String, TeamQuota> quotas =
                mQuotas.orElseThrow(
                        () ->
                                new IbisstandException(
                                        ErrorCode.CONFIGURATION_INVALID,
                                        "the quotas in force cannot be read"));
        if (isNew || !isConfigured) {
            ledger.configure(quotas);
        }
    }

    /** Keeps the quotas of the version before if the new one cannot be read. */
    private void read(CurrentRouting routing) {
        try {
            RoutingConfiguration configuration = mReader.read(routing.json().toByteArray());
            mQuotas = Optional.of(quotasOf(configuration.teams().orElse(List.of())));
        } catch (IbisstandException e) {
            LogLine.error("quotas_not_read")
                    .with("version", routing.version())
                    .code(e.code())
                    .cause(e)
                    .write();
            mQuotas = mQuotas.filter(quotas -> !quotas.isEmpty());
        }
    }

    private static Map<String, TeamQuota> quotasOf(List<TeamKeys> teams) {
        Map<String, TeamQuota> quotas = new HashMap<>();
        teams.forEach(team -> team.quota().ifPresent(quota -> quotas.put(team.name(), quota)));
        return quotas;
    }
}
