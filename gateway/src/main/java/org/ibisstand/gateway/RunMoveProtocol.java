package org.ibisstand.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;

/** Words the calls that move a run from one engine to another; decides and sends nothing. */
public interface RunMoveProtocol {
    /**
     * Returns the call that stops a run and copies its memory; it is sent to the run's engine.
     *
     * @param request the identifier of the request that runs
     * @param target the address of the engine that takes the copy
     */
    FullHttpRequest moveRequest(String request, String target);

    /**
     * Reads the answer.
     *
     * @param status the HTTP status
     * @param body the whole body
     * @return empty if the run was not stopped
     */
    Optional<StoppedRun> parseResponse(int status, byte[] body);

    /**
     * A run that waits to go on.
     *
     * @param handle names its memory
     * @param isCopied whether the target holds it; else only the engine that stopped does
     */
    record StoppedRun(String handle, boolean isCopied) {}
}
