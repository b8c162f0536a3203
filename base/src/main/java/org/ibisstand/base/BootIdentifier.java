package org.ibisstand.base;

import java.security.SecureRandom;

/**
 * Names one run of a process, so that a restart is never taken for the run before it.
 *
 * @param value a random number, never zero
 */
public record BootIdentifier(long value) {
    /** Returns a new identifier that no earlier run had. */
    public static BootIdentifier create() {
        long value = new SecureRandom().nextLong();
        return new BootIdentifier(value == 0 ? 1 : value);
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
