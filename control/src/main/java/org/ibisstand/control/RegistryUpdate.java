package org.ibisstand.control;

import java.util.List;
import org.ibisstand.wire.message.AgentRecord;

/**
 * What a watcher must learn to reach the present registry.
 *
 * @param epoch names the registry; another epoch starts from nothing
 * @param sequence the sequence that the watcher has afterwards
 * @param whole whether the agents listed are all there are
 * @param agents new and changed agents
 * @param removed names of agents that are gone
 */
record RegistryChange(
        long epoch, long sequence, boolean whole, List<AgentRecord> agents, List<String> removed) {
    /** Says nothing about agents. */
    static final RegistryChange NONE = new RegistryChange(0, 0, false, List.of(), List.of());

    RegistryChange {
        agents = List.copyOf(agents);
        removed = List.copyOf(removed);
    }
}
