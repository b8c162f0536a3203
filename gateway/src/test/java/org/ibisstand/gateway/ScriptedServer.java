package org.ibisstand.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A backend server that answers every request by a script, byte for byte. */
final class ScriptedServer implements AutoCloseable {
    private final ServerSocket mListener;
    private final Script mScript;
    private final List<String> mRequests = new CopyOnWriteArrayList<>();
    private final CountDownLatch mLeft = new CountDownLatch(1);

    private ScriptedServer(ServerSocket listener, Script script) {
        mListener = listener;
        mScript = script;
    }

    /** What the server does with a request. */
    @FunctionalInterface
    interface Script {
        /** Answers, by writing to the connection or by closing it. */
        void answer(String request, String identifier, Socket connection) throws IOException;
    }

    static ScriptedServer start(Script script) {
        try {
            ScriptedServer server =
                    new ScriptedServer(
                            new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), script);
            daemon(server::accept);
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Answers with a status, headers and a body of known length. */
    static Script whole(int status, String headers, String body) {
        return (request, identifier, connection) ->
                write(
                        connection,
                        "HTTP/1.1 "
                                + status
                                + " X\r\nx-request: "
                                + identifier
                                + "\r\n"
                                + headers
                                + "Content-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body);
    }

    static void write(Socket connection, String text) throws IOException {
        OutputStream output = connection.getOutputStream();
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    List<String> requests() {
        return mRequests;
    }

    boolean callerLeft(long seconds) throws InterruptedException {
        return mLeft.await(seconds, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        try {
            mListener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void accept() {
        try {
            while (!mListener.isClosed()) {
                Socket connection = mListener.accept();
                daemon(() -> serve(connection));
            }
        } catch (SocketException e) {
            mLeft.countDown();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream input = new BufferedInputStream(connection.getInputStream());
            String request = read(input);
            while (!request.isEmpty()) {
                mRequests.add(request);
                mScript.answer(request, header(request, "x-request"), connection);
                request = connection.isClosed() ? "" : read(input);
            }
        } catch (IOException e) {
            mRequests.add("broken: " + e.getMessage());
        } finally {
            mLeft.countDown();
        }
    }

    private static String read(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        String length = header(head.toString(), "content-length");
        byte[] body = input.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        return head + new String(body, StandardCharsets.ISO_8859_1);
    }

    static String header(String message, String name) {
        for (String line : message.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return "";
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }
}
