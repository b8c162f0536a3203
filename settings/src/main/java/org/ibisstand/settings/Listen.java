package org.ibisstand.settings;

/**
 * Where a server of the process listens.
 *
 * @param host the IP number to bind
 * @param port the TCP port; zero takes any free port
 */
public record Listen(@Form(TextForm.HOST) String host, @Range(from = 0, to = 65535) int port) {}
