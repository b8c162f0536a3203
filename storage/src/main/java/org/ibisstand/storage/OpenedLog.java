package org.ibisstand.storage;

/**
 * An open log store with the content recovered when it was opened.
 *
 * @param store the open store
 * @param recovered the content when the store was opened
 */
public record OpenedLog(LogStore store, Recovered recovered) {}
