/** A replicated log after the Raft algorithm, as a state machine without input or output. */
package org.ibisstand.consensus;
