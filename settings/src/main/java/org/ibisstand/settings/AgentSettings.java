package org.ibisstand.settings;

import java.util.List;

/**
 * The settings of one agent process.
 *
 * @param agent the name of the agent, unique among agents and the same over restarts
 * @param zone the availability zone that the VM stands in
 * @param wire where entries and control connect
 * @param administration where operators connect
 * @param controlAddresses the wire addresses of the control members; any of them will do
 * @param backend the backend server that the agent stands before
 * @param limits how much work the agent takes in
 * @param timing how long the agent waits
 */
public record AgentSettings(
        @Form(TextForm.NAME) String agent,
        @Form(TextForm.NAME) String zone,
        WireListen wire,
        Administration administration,
        @Range(from = 1, to = 16) List<Address> controlAddresses,
        BackendServer backend,
        Limits limits,
        Timing timing) {
    /** Copies the list, so that settings never change. */
    public AgentSettings {
        controlAddresses = List.copyOf(controlAddresses);
    }

    /**
     * How much work the agent takes in.
     *
     * @param maximumRecordedAnswerBytes the largest answer that is kept for a resend
     * @param streamBufferBytes how much of one answer is buffered before reading pauses
     */
    public record Limits(
            @Range(from = 0, to = 1048576) int maximumRecordedAnswerBytes,
            @Range(from = 4096, to = 67108864) int streamBufferBytes) {}

    /**
     * How long the agent waits, in milliseconds.
     *
     * @param leaseMilliseconds for which an announcement at control holds
     * @param backendConnectTimeoutMilliseconds for a connection to the backend server
     * @param backendIdleTimeoutMilliseconds for the next bytes of an answer
     * @param resumeMilliseconds for which a stream without a connection is kept
     * @param gracefulStopMilliseconds for requests in progress when the process stops
     */
    public record Timing(
            @Range(from = 500, to = 600000) long leaseMilliseconds,
            @Range(from = 10, to = 60000) long backendConnectTimeoutMilliseconds,
            @Range(from = 100, to = 3600000) long backendIdleTimeoutMilliseconds,
            @Range(from = 0, to = 600000) long resumeMilliseconds,
            @Range(from = 0, to = 3600000) long gracefulStopMilliseconds) {}
}
