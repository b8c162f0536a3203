package org.ibisstand.faults;

/** What is known about a cell. */
public enum Status {
    /** All tests named for the cell passed in their last run. */
    PROVED,
    /** A test named for the cell failed in its last run. */
    FAILED,
    /** A test named for the cell has no result. */
    NOT_RUN,
    /** No test is named for the cell. */
    NOT_COVERED,
    /** The fault cannot strike the promise; the table says why. */
    CANNOT_ARISE
}
