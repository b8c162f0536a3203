/** Routing decisions as pure functions and state machines: placement, retries, hedging, limits. */
package org.ibisstand.routing;
