package org.ibisstand.gateway;

import java.util.List;
import org.ibisstand.settings.Address;

/**
 * The settings of one gateway.
 *
 * @param process the name of this process
 * @param zone the availability zone that the VM stands in
 * @param callers where callers connect
 * @param control wire addresses of members of control
 * @param retryRatio requests to a further backend server, for each request to a service
 * @param retryFixed such requests in a window in any case, for all entries together
 * @param retryWindowMilliseconds the length of a window
 * @param stopMilliseconds how long requests in progress may take after the request to stop
 */
public record GatewaySettings(
        String process,
        String zone,
        Address callers,
        List<String> control,
        double retryRatio,
        double retryFixed,
        long retryWindowMilliseconds,
        long stopMilliseconds) {
    /** Copies the list, so that settings never change. */
    public GatewaySettings {
        control = List.copyOf(control);
    }
}
