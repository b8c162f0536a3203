/** Follows what control tells about routing, weights and backend servers. */
package org.ibisstand.fleet;
