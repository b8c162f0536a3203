package org.ibisstand.entry;

import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.ClaimReply;

/**
 * An attempt that control has bound to one boot of an agent.
 *
 * @param attempt its number
 * @param agent where it may run
 * @param boot the only run of the agent that may run it
 */
record ClaimedAttempt(AttemptIdentifier attempt, AgentIdentifier agent, BootIdentifier boot) {
    static ClaimedAttempt of(ClaimReply reply) {
        return new ClaimedAttempt(
                reply.getAttempt(),
                new AgentIdentifier(reply.getAgent()),
                new BootIdentifier(reply.getBoot()));
    }
}
