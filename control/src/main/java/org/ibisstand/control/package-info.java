/** The control daemon: replicated configuration, claims and routing, and the registry of agents. */
package org.ibisstand.control;
