/** Durable storage of a consensus member: log, snapshots, term and vote in one data folder. */
package org.ibisstand.storage;
