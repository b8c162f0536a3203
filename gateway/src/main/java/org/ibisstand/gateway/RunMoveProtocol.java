package org.ibisstand.gateway;

import io.netty.handler.codec.http.FullHttpRequest;

/** Builds and parses the messages that move a run between engines; performs no I/O. */
public interface RunMoveProtocol {
    /**
     * Returns the request that makes an engine copy the KV cache of a run to another engine, which
     * reserves its place there. The run continues.
     *
     * @param requestIdentifier the identifier of the request behind the run
     * @param target the address of the engine that receives the copy
     */
    FullHttpRequest copyRequest(String requestIdentifier, String target);

    /**
     * Returns the request that makes an engine stop a run, and copy what its earlier copy lacks.
     *
     * @param requestIdentifier the identifier of the request behind the run
     * @param target the address of the engine that has the copy
     */
    FullHttpRequest stopRequest(String requestIdentifier, String target);

    /** Returns the request that makes the source of a copy free it at both engines. */
    FullHttpRequest releaseRequest(String handle);

    /**
     * Parses the response to a request to copy or to stop a run.
     *
     * @param status the HTTP status
     * @param body the complete body
     */
    Reply parseResponse(int status, byte[] body);

    /** What became of a request to copy or to stop a run. */
    sealed interface Reply {}

    /**
     * The engine carried out the request.
     *
     * @param handle the engine's identifier of the run's KV cache
     * @param isCopied whether the target has a whole copy; if not, the run was stopped and only its
     *     engine has all of the KV cache
     */
    record Stored(String handle, boolean isCopied) implements Reply {}

    /** The engine did nothing; the run goes on. */
    record Refused(String reason) implements Reply {}

    /** The engine has no such run, which has ended, or was reset. */
    record RunUnknown() implements Reply {}

    /** The engine may have carried out the request, or may do so late. */
    record Unclear(String reason) implements Reply {}
}
