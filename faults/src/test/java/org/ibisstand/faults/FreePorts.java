package org.ibisstand.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds ports that nobody listens on at the moment. */
final class FreePorts {
    private FreePorts() {}

    static int next() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.2"))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
