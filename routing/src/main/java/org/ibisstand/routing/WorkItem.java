package org.ibisstand.routing;

/**
 * One attempt of a request that was sent to an agent.
 *
 * @param identifier names the attempt at this agent; never used twice
 * @param profile what the attempt needs
 */
public record WorkItem(long identifier, RequestProfile profile) {}
