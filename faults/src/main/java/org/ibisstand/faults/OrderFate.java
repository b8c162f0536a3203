package org.ibisstand.faults;

/**
 * What a caller was told about one order in the end.
 *
 * @param key the idempotency key that all its tries carried
 * @param completed whether the answer came
 * @param refused whether every try was refused as not run
 */
record OrderFate(String key, boolean completed, boolean refused) {}
