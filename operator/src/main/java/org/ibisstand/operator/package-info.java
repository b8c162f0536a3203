/** Operators' library: builds configurations and speaks to the administration ports. */
package org.ibisstand.operator;
