package org.ibisstand.gateway;

import java.util.function.Consumer;
import org.ibisstand.settings.Address;

/** Checks whether an engine still runs. */
interface EngineProbe {
    /** What a check found. */
    enum Result {
        /** The connection was accepted. */
        ACCEPTED,
        /** The machine is up and nothing listens. */
        REFUSED,
        /** Neither, for instance because packets are lost. */
        UNKNOWN
    }

    /** Passes the result of one check to the listener, later and on the event loop. */
    void check(Address address, Consumer<Result> listener);
}
