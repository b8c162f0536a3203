/** The control daemon as a library. */
package org.ibisstand.control;
