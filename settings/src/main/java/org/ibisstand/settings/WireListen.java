package org.ibisstand.settings;

import java.util.Optional;

/**
 * Where a process listens for other processes of ibisstand.
 *
 * @param host the IP number to bind
 * @param port the TCP port; zero takes any free port
 * @param advertisedHost the IP number that others connect to, if it is not the bound one
 */
public record WireListen(
        @Form(TextForm.HOST) String host,
        @Range(from = 0, to = 65535) int port,
        @Form(TextForm.HOST) Optional<String> advertisedHost) {
    /**
     * Returns the address that others connect to.
     *
     * @param boundPort the port that the server was given
     */
    public Address advertised(int boundPort) {
        return new Address(advertisedHost.orElse(host), boundPort);
    }
}
