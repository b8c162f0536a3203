package org.ibisstand.base;

import java.util.Objects;

/** The unchecked exception of all modules; its code says what failed and what to do. */
public final class IbisstandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode mCode;

    /**
     * Creates an exception without a cause.
     *
     * @param code what failed
     * @param message details for the reader, without secrets
     */
    public IbisstandException(ErrorCode code, String message) {
        this(code, message, null);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param code what failed
     * @param message details for the reader, without secrets
     * @param cause the underlying failure, or null
     */
    public IbisstandException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        mCode = Objects.requireNonNull(code);
    }

    /** Returns what failed. */
    public ErrorCode code() {
        return mCode;
    }
}
