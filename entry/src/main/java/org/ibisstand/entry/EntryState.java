package org.ibisstand.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.Digests;
import org.ibisstand.routing.Fleet;
import org.ibisstand.settings.Configuration;
import org.ibisstand.settings.Team;

/**
 * What an entry serves by: the configuration in force and the live agents.
 *
 * <p>An instance never changes; the control thread replaces it as a whole and traffic threads read
 * the latest.
 */
final class EntryState {
    private final long mRevision;
    private final boolean mConfirmed;
    private final Optional<Configuration> mConfiguration;
    private final Map<String, Team> mTeamsByToken;
    private final Fleet mFleet;
    private final Map<AgentIdentifier, String> mAddresses;

    private EntryState(
            long revision,
            boolean confirmed,
            Optional<Configuration> configuration,
            Map<String, Team> teamsByToken,
            Fleet fleet,
            Map<AgentIdentifier, String> addresses) {
        mRevision = revision;
        mConfirmed = confirmed;
        mConfiguration = configuration;
        mTeamsByToken = teamsByToken;
        mFleet = fleet;
        mAddresses = addresses;
    }

    /** Returns the state of an entry that has heard of nothing yet. */
    static EntryState empty() {
        return new EntryState(0, false, Optional.empty(), Map.of(), Fleet.empty(), Map.of());
    }

    /** Returns this state under another configuration. */
    EntryState withConfiguration(long revision, boolean confirmed, Configuration configuration) {
        Map<String, Team> teams = new HashMap<>();
        for (Team team : configuration.teams()) {
            team.tokenSha256().forEach(token -> teams.put(token, team));
        }
        return new EntryState(
                revision,
                confirmed,
                Optional.of(configuration),
                Map.copyOf(teams),
                mFleet,
                mAddresses);
    }

    /** Returns this state with its revision confirmed, or not, by a majority of control. */
    EntryState withConfirmed(boolean confirmed) {
        return new EntryState(
                mRevision, confirmed, mConfiguration, mTeamsByToken, mFleet, mAddresses);
    }

    /** Returns this state with other agents. */
    EntryState withFleet(Fleet fleet, Map<AgentIdentifier, String> addresses) {
        return new EntryState(
                mRevision, mConfirmed, mConfiguration, mTeamsByToken, fleet, Map.copyOf(addresses));
    }

    long revision() {
        return mRevision;
    }

    boolean confirmed() {
        return mConfirmed;
    }

    Optional<Configuration> configuration() {
        return mConfiguration;
    }

    /** Finds the team that a bearer token belongs to. */
    Optional<Team> teamOf(String token) {
        return Optional.ofNullable(mTeamsByToken.get(Digests.hexadecimal(token)));
    }

    Fleet fleet() {
        return mFleet;
    }

    /** Returns host and port of an agent. */
    Optional<String> addressOf(AgentIdentifier agent) {
        return Optional.ofNullable(mAddresses.get(agent));
    }

    Map<AgentIdentifier, String> addresses() {
        return mAddresses;
    }
}
