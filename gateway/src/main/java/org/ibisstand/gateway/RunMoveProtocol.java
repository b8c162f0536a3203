package org.ibisstand.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;

/** Builds and parses the messages that move a run between engines; performs no I/O. */
public interface RunMoveProtocol {
    /**
     * Returns the request that makes an engine stop a run and copy its KV cache to another engine.
     *
     * @param requestIdentifier the identifier of the request behind the run
     * @param target the address of the engine that receives the copy
     */
    FullHttpRequest moveRequest(String requestIdentifier, String target);

    /**
     * Parses the response of the engine.
     *
     * @param status the HTTP status
     * @param body the complete body
     * @return empty if the run was not stopped
     */
    Optional<StoppedRun> parseResponse(int status, byte[] body);

    /**
     * A stopped run that can be resumed.
     *
     * @param handle the engine's identifier of the run's KV cache
     * @param isCopied whether the target has a copy; if not, only the engine that stopped the run
     *     has the KV cache
     */
    record StoppedRun(String handle, boolean isCopied) {}
}
