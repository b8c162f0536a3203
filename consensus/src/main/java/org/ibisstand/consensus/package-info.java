/** Replicated log as a pure state machine. */
package org.ibisstand.consensus;
