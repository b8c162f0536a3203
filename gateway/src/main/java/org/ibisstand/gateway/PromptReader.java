package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Reads what a caller says of its prompt. */
@FunctionalInterface
public interface PromptReader {
    /**
     * Reads a prompt.
     *
     * @param headers of the request
     * @return empty if the request carries no prompt, or one that cannot be read
     */
    Optional<Prompt> read(HttpHeaders headers);
}
