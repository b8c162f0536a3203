package org.ibisstand.control;

/**
 * What must run at most once: one key of one team at one service.
 *
 * @param team the team that sent the request
 * @param service the service or model that it is for
 * @param key the idempotency key of the request
 */
record ClaimKey(String team, String service, String key) {}
