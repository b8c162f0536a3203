package org.ibisstand.fakes;

/**
 * What goes wrong in a fake service; also read from the body of {@code POST /admin/faults}.
 *
 * @param delayMilliseconds how long each answer takes
 * @param closeAfterExecution whether the connection closes after a call ran, without an answer
 */
public record FakeServiceFaults(long delayMilliseconds, boolean closeAfterExecution) {
    /** Returns that nothing goes wrong. */
    public static FakeServiceFaults none() {
        return new FakeServiceFaults(0, false);
    }
}
