/** Messages and connections between the processes. */
package org.ibisstand.wire;
