package org.ibisstand.agent;

import java.time.Duration;
import org.ibisstand.wire.message.Submit;

/** Sends requests to the backend server beside the agent. */
interface Backend {
    /**
     * Sends a request once, without any retry.
     *
     * @param submit the request
     * @param timeout the maximum time until the response is complete
     * @param listener receives the response
     */
    BackendCall start(Submit submit, Duration timeout, BackendListener listener);
}
