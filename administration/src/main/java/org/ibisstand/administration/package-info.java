/**
 * The HTTP server through which operators and the platform reach each process.
 *
 * <p>Health and readiness are open; all else needs the operators' token.
 */
package org.ibisstand.administration;
