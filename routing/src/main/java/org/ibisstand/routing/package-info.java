/** Routing decisions as pure functions and state machines. */
package org.ibisstand.routing;
