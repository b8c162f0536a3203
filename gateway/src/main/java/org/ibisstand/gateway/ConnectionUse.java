package org.ibisstand.gateway;

import org.ibisstand.base.LogLine;

/**
 * The use of a connection to a backend server by one exchange, as it is logged.
 *
 * @param connection the number of the connection at this gateway
 * @param earlierExchanges how many exchanges it carried before this one
 */
record ConnectionUse(long connection, int earlierExchanges) {
    /** Adds the connection and its earlier exchanges to a line. */
    LogLine addTo(LogLine line) {
        return line.with("connection", connection).with("earlier_exchanges", earlierExchanges);
    }
}
