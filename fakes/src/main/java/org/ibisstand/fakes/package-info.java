/** Small stand-ins for engines and plain services. */
package org.ibisstand.fakes;
