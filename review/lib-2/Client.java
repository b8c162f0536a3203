import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends requests to a gateway, each on a connection of its own. */
final class Client {
    private final Deployment mDeployment;

    Client(Deployment deployment) {
        mDeployment = deployment;
    }

    /** Returns the status of a GET or POST; 0 if there was no answer. */
    int send(int host, int port, String method, String path, String headers, String body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(mDeployment.host(host), port), 1_000);
            socket.setSoTimeout(6_000);
            String head =
                    method + " " + path + " HTTP/1.1\r\n" + headers
                            + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
                            + "Connection: close\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return answer.startsWith("HTTP/1.1 ") ? Integer.parseInt(answer.substring(9, 12)) : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    boolean isReady(int host) {
        return send(host, Deployment.READY_PORT, "GET", "/api/ready", "Host: ready\r\n", "") == 200;
    }

    boolean awaitReady(int host, int seconds) throws InterruptedException {
        for (int attempt = 0; attempt < 5 * seconds; attempt++) {
            if (isReady(host)) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }
}
