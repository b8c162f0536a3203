/** The entry daemon as a library. */
package org.ibisstand.entry;
