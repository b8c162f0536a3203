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

/** A backend server whose script writes the bytes of every response. */
final class ScriptedServer implements AutoCloseable {
    private static final int END_OF_CONNECTION = -1;

    private final ServerSocket mListener;
    private final Script mScript;
    private final int mMaximumBodyBytes;
    private final List<String> mRequests = new CopyOnWriteArrayList<>();
    private final CountDownLatch mDisconnected = new CountDownLatch(1);

    private ScriptedServer(ServerSocket listener, Script script, int maximumBodyBytes) {
        mListener = listener;
        mScript = script;
        mMaximumBodyBytes = maximumBodyBytes;
    }

    /** Responds to the requests of a server. */
    @FunctionalInterface
    interface Script {
        /** Responds by writing to the connection or by closing it. */
        void respond(String request, String identifier, Socket connection) throws IOException;
    }

    static ScriptedServer start(Script script) {
        return start(script, Integer.MAX_VALUE);
    }

    /** Returns a server that responds once it has read the head and so many bytes of the body. */
    static ScriptedServer start(Script script, int maximumBodyBytes) {
        try {
            ScriptedServer server =
                    new ScriptedServer(
                            new ServerSocket(0, 50, InetAddress.getLoopbackAddress()),
                            script,
                            maximumBodyBytes);
            startDaemonThread(server::accept);
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a script that sends a status, headers and a body with its length. */
    static Script completeResponse(int status, String headers, String body) {
        return (request, identifier, connection) ->
                write(connection, completeText(status, headers, body, identifier));
    }

    static String completeText(int status, String headers, String body, String identifier) {
        return "HTTP/1.1 "
                + status
                + " X\r\nx-request: "
                + identifier
                + "\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
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

    boolean awaitDisconnect(long seconds) throws InterruptedException {
        return mDisconnected.await(seconds, TimeUnit.SECONDS);
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
                startDaemonThread(() -> serve(connection));
            }
        } catch (SocketException e) {
            mDisconnected.countDown();
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
                mScript.respond(request, header(request, "x-request"), connection);
                request = connection.isClosed() ? "" : read(input);
            }
        } catch (IOException e) {
            mRequests.add("broken: " + e.getMessage());
        } finally {
            mDisconnected.countDown();
        }
    }

    /** Returns the next request; empty if the connection is closed or reset ahead of it. */
    private String read(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = head.isEmpty() ? readFirst(input) : input.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        String length = header(head.toString(), "content-length");
        int bodyBytes = length.isEmpty() ? 0 : Integer.parseInt(length);
        byte[] body = input.readNBytes(Math.min(bodyBytes, mMaximumBodyBytes));
        return head + new String(body, StandardCharsets.ISO_8859_1);
    }

    private static int readFirst(InputStream input) throws IOException {
        try {
            return input.read();
        } catch (SocketException e) {
            return END_OF_CONNECTION;
        }
    }

    static String header(String message, String name) {
        for (String line : message.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return "";
    }

    private static void startDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }
}
