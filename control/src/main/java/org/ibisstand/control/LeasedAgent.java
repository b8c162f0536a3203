package org.ibisstand.control;

import java.time.Instant;
import org.ibisstand.wire.message.AgentRecord;

/**
 * An agent that announced itself.
 *
 * @param record the last announcement
 * @param leaseExpiry when the agent is removed unless it announces itself again
 * @param changedSequence the registry sequence of the last change of the record
 */
record LeasedAgent(AgentRecord record, Instant leaseExpiry, long changedSequence) {
    LeasedAgent renewUntil(Instant newLeaseExpiry) {
        return new LeasedAgent(record, newLeaseExpiry, changedSequence);
    }
}
