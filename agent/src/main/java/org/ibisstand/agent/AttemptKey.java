package org.ibisstand.agent;

import org.ibisstand.wire.message.AttemptIdentifier;

/**
 * Names one attempt of a claimed request.
 *
 * @param claim the number that control gave to the request
 * @param epoch grows with every take-over
 */
record AttemptKey(long claim, int epoch) {
    static AttemptKey of(AttemptIdentifier identifier) {
        return new AttemptKey(identifier.getClaim(), identifier.getEpoch());
    }

    AttemptIdentifier toMessage() {
        return AttemptIdentifier.newBuilder().setClaim(claim).setEpoch(epoch).build();
    }
}
