package org.ibisstand.control;

import java.time.Instant;
import org.ibisstand.wire.message.AgentRecord;

/**
 * An agent that announced itself.
 *
 * @param record what it last announced
 * @param leaseEnds when it is removed unless it announces itself again
 * @param changedSequence the registry sequence of its last change
 */
record LeasedAgent(AgentRecord record, Instant leaseEnds, long changedSequence) {
    LeasedAgent renewed(Instant newLeaseEnds) {
        return new LeasedAgent(record, newLeaseEnds, changedSequence);
    }
}
