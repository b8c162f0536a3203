package org.ibisstand.agent;

/** One call in progress at a backend server. All methods may be called from any thread. */
interface BackendCall {
    /** Closes the call, so that the backend server stops working on it. */
    void cancel();

    /** Reads on after {@link BackendListener#data} asked to pause. */
    void resume();
}
