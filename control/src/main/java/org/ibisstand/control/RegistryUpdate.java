package org.ibisstand.control;

import java.util.List;
import org.ibisstand.wire.message.AgentRecord;

/**
 * A change of the registry for one watcher, or the full list of agents.
 *
 * @param epoch the epoch of the registry; sequences of different epochs cannot be compared
 * @param sequence the sequence that the watcher reaches with this update
 * @param isFullList whether the listed agents are all agents
 * @param agents the new and changed agents
 * @param removed the names of removed agents
 */
record RegistryUpdate(
        long epoch,
        long sequence,
        boolean isFullList,
        List<AgentRecord> agents,
        List<String> removed) {
    /** An update without any information about agents. */
    static final RegistryUpdate NONE = new RegistryUpdate(0, 0, false, List.of(), List.of());

    RegistryUpdate {
        agents = List.copyOf(agents);
        removed = List.copyOf(removed);
    }
}
