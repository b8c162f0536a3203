/** Routes requests by host and path to backend servers that announced themselves. */
package org.ibisstand.gateway;
