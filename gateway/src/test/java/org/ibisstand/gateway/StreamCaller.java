package org.ibisstand.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Asks the gateway for one stream and reads it as it comes. */
final class StreamCaller {
    private final RunLog mLog;
    private final List<Integer> mEvents = new ArrayList<>();

    private StreamCaller(RunLog log) {
        mLog = log;
    }

    static StreamCaller ask(int port, String request, RunLog log) {
        StreamCaller caller = new StreamCaller(log);
        try {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            ScriptedServer.write(socket, request);
            Thread reader = new Thread(() -> caller.read(socket), "stream-caller");
            reader.setDaemon(true);
            reader.start();
            return caller;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the identifiers of the events that came, in order. */
    List<Integer> events() {
        synchronized (mEvents) {
            return List.copyOf(mEvents);
        }
    }

    private void read(Socket socket) {
        try (socket) {
            BufferedReader lines =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String status = lines.readLine();
            if (status == null) {
                mLog.add(RunLog.Step.BROKEN);
            } else if (status.startsWith("HTTP/1.1 200")) {
                mLog.add(readEvents(lines) ? RunLog.Step.ENDED : RunLog.Step.BROKEN);
            } else {
                mLog.add(RunLog.Step.NOT_SERVED);
            }
        } catch (IOException e) {
            mLog.add(RunLog.Step.BROKEN);
        }
    }

    /** Returns whether the stream came to its end. */
    private boolean readEvents(BufferedReader lines) throws IOException {
        Optional<Integer> event = Optional.empty();
        String line = lines.readLine();
        while (line != null && !line.equals("0")) {
            if (line.startsWith("id: ")) {
                event = Optional.of(Integer.parseInt(line.substring("id: ".length())));
            } else if (line.isEmpty() && event.isPresent()) {
                synchronized (mEvents) {
                    mEvents.add(event.get());
                }
                event = Optional.empty();
                mLog.add(RunLog.Step.EVENT);
            }
            line = lines.readLine();
        }
        return line != null;
    }
}
