package org.ibisstand.command;

/** Prepares the log before its first line; the rest stands in tinylog.properties. */
final class LogConfiguration {
    private static final String PROCESS_PROPERTY = "ibisstand.process";

    private LogConfiguration() {}

    /** Names the process in each line of the log. */
    static void nameProcess(String name) {
        System.setProperty(PROCESS_PROPERTY, name);
    }
}
