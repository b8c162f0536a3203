package org.ibisstand.agent;

import java.time.Duration;
import org.ibisstand.wire.message.Submit;

/** The backend server beside the agent, as far as requests go. */
interface Backend {
    /**
     * Sends a request once; nothing is ever sent again by the backend itself.
     *
     * @param submit the request
     * @param timeout how long the whole answer may take
     * @param listener receives the answer
     */
    BackendCall start(Submit submit, Duration timeout, BackendListener listener);
}
