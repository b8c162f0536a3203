/** A durable log with snapshots, term and vote in one data folder. */
package org.ibisstand.storage;
