/**
 * The agent beside a backend server: it queues and executes requests, tracks the cache of an engine
 * and loads its weights.
 */
package org.ibisstand.agent;
