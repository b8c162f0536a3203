package org.ibisstand.faults;

/** What may go wrong at any moment. */
public enum Fault {
    PROCESS_KILLED,
    PROCESS_FROZEN,
    DISK_LOST,
    CUT_ONE_WAY,
    CUT_BOTH_WAYS,
    CONTROL_ISOLATED,
    CONNECTION_SILENT,
    EVENT_GAP,
    HERD_RESTART,
    OPERATOR_RACE,
    ANSWER_LOST,
    SECOND_LOSS_AFTER_REPAIR,
    RESTART_BEHIND_CHANGES
}
