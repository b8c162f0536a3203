package org.ibisstand.agent;

import org.ibisstand.base.BootIdentifier;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Offer;

/** Converts offers of the queue to wire messages. */
final class OfferMessages {
    private OfferMessages() {}

    static Frame.Builder frameOf(org.ibisstand.routing.Offer offer, BootIdentifier boot) {
        Offer message =
                Offer.newBuilder()
                        .setHeldPieces(offer.cachedPieces())
                        .setWaitMilliseconds(offer.waitMilliseconds())
                        .setFirstTokenMilliseconds(offer.firstTokenMilliseconds())
                        .setBytesPerMillisecond(offer.bytesPerMillisecond())
                        .setQueued(offer.queued())
                        .setCostOnOthersMilliseconds(offer.costOnOthersMilliseconds())
                        .setBoot(boot.value())
                        .build();
        return Frame.newBuilder().setOffer(message);
    }
}
