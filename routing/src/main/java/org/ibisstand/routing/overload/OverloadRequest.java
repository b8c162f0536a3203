package org.ibisstand.routing.overload;

/**
 * A request before its placement.
 *
 * @param identifier differs for each request of one policy
 * @param service the service that the request goes to; services have engines of their own
 * @param team the team of the caller; empty if it has none
 * @param priority 0 is the most urgent
 * @param deadlineAtMilliseconds when the caller gives up, in milliseconds of the policy's clock
 * @param objectiveMilliseconds the latency objective of the route
 * @param tokens the prompt and output tokens of the request, which its team is charged
 * @param hasInvestedWork whether work was done for it before, such as for a resumed stream
 */
public record OverloadRequest(
        long identifier,
        String service,
        String team,
        int priority,
        long deadlineAtMilliseconds,
        long objectiveMilliseconds,
        long tokens,
        boolean hasInvestedWork) {}
