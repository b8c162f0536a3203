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
        @Form(TextForm.NAME) String name,
        @Range(from = 0, to = 15) int rank,
        @Range(from = 1, to = 3600000) long firstTokenMilliseconds,
        @Range(from = 1, to = 86400000) long deadlineMilliseconds) {}
