/** Decides under overload which requests run, wait or are rejected; performs no I/O. */
package org.ibisstand.routing.overload;
