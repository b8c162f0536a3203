package org.ibisstand.storage;

/**
 * A log store that is ready for use, with what it held when it was opened.
 *
 * @param store takes all later changes
 * @param recovered the content at the time of opening
 */
public record OpenedLog(LogStore store, Recovered recovered) {}
