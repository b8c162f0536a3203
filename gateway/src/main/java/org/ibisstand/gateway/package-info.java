/** An HTTP gateway that routes requests by host and path to registered backend servers. */
package org.ibisstand.gateway;
