package org.ibisstand.settings;

/**
 * Where a process answers its operators.
 *
 * @param host the IP number to bind
 * @param port the TCP port; zero takes any free port
 * @param operatorTokenSha256 the digest of the operators' bearer token, in hexadecimal
 */
public record Administration(
        @Form(TextForm.HOST) String host,
        @Range(from = 0, to = 65535) int port,
        @Form(TextForm.DIGEST) String operatorTokenSha256) {}
