package org.ibisstand.control;

/**
 * Identifies a request that must run at most once.
 *
 * @param team the team that sent the request
 * @param service the service or model that the request is for
 * @param key the idempotency key of the request
 */
record ClaimKey(String team, String service, String key) {}
