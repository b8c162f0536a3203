package org.ibisstand.entry;

/** Asks the handlers of a connection to close it once it carries no request. */
final class ConnectionDrain {
    static final ConnectionDrain EVENT = new ConnectionDrain();

    private ConnectionDrain() {}
}
