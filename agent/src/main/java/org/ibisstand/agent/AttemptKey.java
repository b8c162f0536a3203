package org.ibisstand.agent;

import org.ibisstand.wire.message.AttemptIdentifier;

/**
 * Identifies one attempt of a claimed request.
 *
 * @param claim the identifier that control assigned to the request
 * @param epoch increases each time another entry takes over the claim
 */
record AttemptKey(long claim, int epoch) {
    static AttemptKey of(AttemptIdentifier identifier) {
        return new AttemptKey(identifier.getClaim(), identifier.getEpoch());
    }

    AttemptIdentifier toMessage() {
        return AttemptIdentifier.newBuilder().setClaim(claim).setEpoch(epoch).build();
    }
}
