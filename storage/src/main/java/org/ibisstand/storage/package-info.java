/** Durable log segments and snapshots. */
package org.ibisstand.storage;
