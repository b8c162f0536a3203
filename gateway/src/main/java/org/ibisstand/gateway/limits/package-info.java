/**
 * Limits that requests of a gateway pass between their admission and their placement: the quotas of
 * teams at all gateways together, and the queue for engines without room.
 */
package org.ibisstand.gateway.limits;
