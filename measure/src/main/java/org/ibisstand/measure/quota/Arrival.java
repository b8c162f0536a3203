package org.ibisstand.measure.quota;

/**
 * A request that reaches a gateway.
 *
 * @param at when, in milliseconds since the start of the load
 * @param team the number of the team
 * @param gateway the number of the gateway
 * @param units what the request counts
 * @param isInsideQuota whether all that the team sent until now, with this request, is at most
 *     {@code rate x W + burst} in every window
 * @param teamStaysInside whether this holds for all requests of the team in the load
 */
record Arrival(
        long at,
        int team,
        int gateway,
        long units,
        boolean isInsideQuota,
        boolean teamStaysInside) {}
