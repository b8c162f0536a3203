/** The fault matrix: which test proves which promise under which fault at which step. */
package org.ibisstand.faults;
