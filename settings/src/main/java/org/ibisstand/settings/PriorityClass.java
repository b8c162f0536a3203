package org.ibisstand.settings;

/**
 * A class of requests that are served alike.
 *
 * @param name unique among classes
 * @param rank the order of service; a lower rank goes first
 * @param firstTokenMilliseconds the time to first token or first byte that the class aims at
 * @param deadlineMilliseconds the time after which an answer is worth nothing
 */
public record PriorityClass(
        String name, int rank, long firstTokenMilliseconds, long deadlineMilliseconds) {}
