package org.ibisstand.gateway;

import java.util.List;
import org.ibisstand.settings.Address;

/**
 * The settings of one gateway.
 *
 * @param process the name of this process
 * @param zone the availability zone of the VM
 * @param callers the address to listen on for callers
 * @param control the wire addresses of control members
 * @param retryRatio how many retries at other backend servers each request to a service allows
 * @param retryFixed how many more retries a window allows, for all gateways together
 * @param retryWindowMilliseconds the length of the window
 * @param stopMilliseconds how long requests in progress may take once a drain began
 * @param overloadControl whether requests wait or are rejected while engines have no room
 * @param maximumUnwrittenBytes how many bytes of responses may wait for callers that read slowly,
 *     for all callers together
 */
public record GatewaySettings(
        String process,
        String zone,
        Address callers,
        List<String> control,
        double retryRatio,
        double retryFixed,
        long retryWindowMilliseconds,
        long stopMilliseconds,
        boolean overloadControl,
        long maximumUnwrittenBytes) {
    /** For gateways that limit the unwritten bytes only for each caller. */
    public static final long UNLIMITED = Long.MAX_VALUE;

    /** Copies the list, which makes the settings immutable. */
    public GatewaySettings {
        control = List.copyOf(control);
    }
}
