package org.ibisstand.control;

import org.ibisstand.base.IbisstandException;

/** Opens the log of a control member. */
@FunctionalInterface
public interface LogOpener {
    /**
     * Opens the log and restores the state machine from it; called on the control thread.
     *
     * @param stateMachine the state machine that committed commands are applied to
     * @param context the services of the daemon that the log uses
     * @throws IbisstandException if the stored state cannot be used
     */
    Log open(StateMachine stateMachine, LogContext context);
}
