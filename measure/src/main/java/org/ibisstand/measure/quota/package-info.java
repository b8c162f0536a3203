/** Seeded measurements of the quota decision against other ways to share a quota. */
package org.ibisstand.measure.quota;
