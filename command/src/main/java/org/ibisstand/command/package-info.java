/** The ibisstand executable. */
package org.ibisstand.command;
