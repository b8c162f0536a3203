/** Identifiers, verdicts, error codes, clocks and prefix chains. */
package org.ibisstand.base;
