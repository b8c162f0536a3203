/** Strict JSON settings and the configuration model. */
package org.ibisstand.settings;
