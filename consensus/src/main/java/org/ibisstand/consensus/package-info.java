/** A Raft replicated log as a pure state machine that performs no I/O. */
package org.ibisstand.consensus;
