/** The agent daemon as a library. */
package org.ibisstand.agent;
