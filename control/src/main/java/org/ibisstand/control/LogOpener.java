package org.ibisstand.control;

import org.ibisstand.base.IbisstandException;

/** Opens the log of a control member. */
@FunctionalInterface
public interface LogOpener {
    /**
     * Opens the log and brings the state machine to what the log has kept; called on the control
     * thread.
     *
     * @param stateMachine what the log applies its commands to
     * @param context what the log may use
     * @throws IbisstandException if the kept state cannot be used
     */
    Log open(StateMachine stateMachine, LogContext context);
}
