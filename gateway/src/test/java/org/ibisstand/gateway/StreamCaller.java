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

/** Requests one stream from the gateway and reads it as it arrives. */
final class StreamCaller {
    private final RequestTimeline mTimeline;
    private final List<Integer> mEvents = new ArrayList<>();

    private StreamCaller(RequestTimeline timeline) {
        mTimeline = timeline;
    }

    static StreamCaller send(int port, String request, RequestTimeline timeline) {
        StreamCaller caller = new StreamCaller(timeline);
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

    /** Returns the identifiers of the received events, in order. */
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
                mTimeline.add(RequestTimeline.Step.TRUNCATED);
            } else if (status.startsWith("HTTP/1.1 200")) {
                mTimeline.add(
                        readEvents(lines)
                                ? RequestTimeline.Step.COMPLETED
                                : RequestTimeline.Step.TRUNCATED);
            } else {
                mTimeline.add(RequestTimeline.Step.FAILED);
            }
        } catch (IOException e) {
            mTimeline.add(RequestTimeline.Step.TRUNCATED);
        }
    }

    /** Reads all events, and returns whether the stream ended with its last chunk. */
    private boolean readEvents(BufferedReader lines) throws IOException {
        Optional<Integer> identifier = Optional.empty();
        String line = lines.readLine();
        while (line != null && !line.equals("0")) {
            if (line.startsWith("id: ")) {
                identifier = Optional.of(Integer.parseInt(line.substring("id: ".length())));
            } else if (line.isEmpty() && identifier.isPresent()) {
                synchronized (mEvents) {
                    mEvents.add(identifier.get());
                }
                identifier = Optional.empty();
                mTimeline.add(RequestTimeline.Step.EVENT);
            }
            line = lines.readLine();
        }
        return line != null;
    }
}
