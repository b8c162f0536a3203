/** Seeded measurements of the routing decisions against baselines. */
package org.ibisstand.measure;
