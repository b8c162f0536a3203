package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Reads the description of a prompt from the headers of a request. */
@FunctionalInterface
public interface PromptReader {
    /**
     * Reads a prompt.
     *
     * @param headers the headers of the request
     * @return empty if the headers describe no prompt or cannot be parsed
     */
    Optional<Prompt> read(HttpHeaders headers);
}
