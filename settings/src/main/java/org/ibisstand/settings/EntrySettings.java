package org.ibisstand.settings;

import java.util.List;

/**
 * The settings of one entry process.
 *
 * @param process the name of the process, unique among all processes
 * @param zone the availability zone that the VM stands in
 * @param caller where callers connect
 * @param administration where operators connect
 * @param controlAddresses the wire addresses of the control members; any of them will do
 * @param limits what callers may send
 * @param timing how long the entry waits
 */
public record EntrySettings(
        @Form(TextForm.NAME) String process,
        @Form(TextForm.NAME) String zone,
        Listen caller,
        Administration administration,
        @Range(from = 1, to = 16) List<Address> controlAddresses,
        Limits limits,
        Timing timing) {
    /** Copies the list, so that settings never change. */
    public EntrySettings {
        controlAddresses = List.copyOf(controlAddresses);
    }

    /**
     * What callers may send.
     *
     * @param maximumBodyBytes the largest body of a request
     * @param maximumHeaderBytes the largest sum of the header lines of a request
     * @param maximumConnections how many callers may be connected at once
     * @param maximumRequests how many requests may be in progress at once
     */
    public record Limits(
            @Range(from = 1024, to = 67108864) int maximumBodyBytes,
            @Range(from = 1024, to = 1048576) int maximumHeaderBytes,
            @Range(from = 1, to = 1000000) int maximumConnections,
            @Range(from = 1, to = 1000000) int maximumRequests) {}

    /**
     * How long the entry waits, in milliseconds.
     *
     * @param requestTimeoutMilliseconds for a caller to send a whole request
     * @param idleTimeoutMilliseconds for a next request on an open connection
     * @param balancerWaitMilliseconds between readiness off and the refusal of connections
     * @param gracefulStopMilliseconds for requests in progress when the process stops
     */
    public record Timing(
            @Range(from = 100, to = 600000) long requestTimeoutMilliseconds,
            @Range(from = 100, to = 3600000) long idleTimeoutMilliseconds,
            @Range(from = 0, to = 600000) long balancerWaitMilliseconds,
            @Range(from = 0, to = 3600000) long gracefulStopMilliseconds) {}
}
