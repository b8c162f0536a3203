package org.ibisstand.agent;

/** A request in progress at the backend server. All methods may be called from any thread. */
interface BackendCall {
    /** Closes the connection of the call, so that the backend server stops processing it. */
    void cancel();

    /** Resumes reading after {@link BackendListener#onData} returned false. */
    void resumeReading();
}
