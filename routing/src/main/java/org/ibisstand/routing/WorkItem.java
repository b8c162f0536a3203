package org.ibisstand.routing;

/**
 * An attempt of a request, as submitted to an agent's queue.
 *
 * @param identifier identifies the attempt at this agent; never reused
 * @param profile the properties of the request
 */
public record WorkItem(long identifier, RequestProfile profile) {}
