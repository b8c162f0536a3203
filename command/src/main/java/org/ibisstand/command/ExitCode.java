package org.ibisstand.command;

import org.ibisstand.base.ErrorCode;

/** The exit codes of the executable. */
public enum ExitCode {
    OK(0),
    REFUSED(1),
    USAGE(2),
    ENVIRONMENT(3),
    INVALID(4),
    UNREACHABLE(5);

    private final int mNumber;

    ExitCode(int number) {
        mNumber = number;
    }

    /** Returns the number that the shell sees. */
    public int number() {
        return mNumber;
    }

    /** Returns the exit code that reports an error. */
    static ExitCode of(ErrorCode code) {
        return switch (code) {
            case USAGE -> USAGE;
            case PORT_IN_USE,
                    DATA_FOLDER_UNUSABLE,
                    STORAGE_DAMAGED,
                    STORAGE_FAILED,
                    STORAGE_REFUSED ->
                    ENVIRONMENT;
            case SETTINGS_INVALID, CONFIGURATION_INVALID -> INVALID;
            case CONNECTION_LOST, NO_QUORUM, NOT_LEADER, AGENT_UNREACHABLE -> UNREACHABLE;
            default -> REFUSED;
        };
    }
}
