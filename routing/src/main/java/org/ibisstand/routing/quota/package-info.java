/** Quotas of teams that hold over all gateways; see docs/design/hard-load.md. */
package org.ibisstand.routing.quota;
