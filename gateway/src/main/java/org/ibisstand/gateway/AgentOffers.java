package org.ibisstand.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireClient;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.PartAnswer;
import org.ibisstand.wire.message.PartQuestion;

/**
 * Asks agents what their engines hold of a prompt; for the traffic thread only. An agent that does
 * not answer at once is passed over: its engine may be used all the same.
 */
final class AgentOffers {
    /** Two round trips between availability zones with a short stall of an agent. */
    private static final Duration PATIENCE = Duration.ofMillis(10);

    private static final FrameHandler NO_REQUESTS = (connection, frame) -> {};

    private final WireContext mWire;
    private final Map<String, WireClient> mClients = new HashMap<>();

    AgentOffers(WireContext wire) {
        mWire = wire;
    }

    /** Keeps connections to exactly these agents. */
    void keep(Set<String> agents) {
        mClients.entrySet()
                .removeIf(
                        client -> {
                            boolean leaves = !agents.contains(client.getKey());
                            if (leaves) {
                                client.getValue().close();
                            }
                            return leaves;
                        });
        agents.forEach(agent -> mClients.computeIfAbsent(agent, this::connect));
    }

    /**
     * Asks about a prompt.
     *
     * @param salts the salt of the prompt at each agent that is asked
     * @param parts the shared parts of the prompt, in order
     * @param listener receives the answers by agent once all are there, or time is up
     */
    void ask(
            Map<String, String> salts,
            List<String> parts,
            Consumer<Map<String, PartAnswer>> listener) {
        Map<String, PartAnswer> answers = new HashMap<>();
        Set<String> open = new HashSet<>();
        Map<String, WireConnection> connections = new HashMap<>();
        salts.keySet()
                .forEach(
                        agent ->
                                Optional.ofNullable(mClients.get(agent))
                                        .flatMap(WireClient::connection)
                                        .ifPresent(one -> connections.put(agent, one)));
        open.addAll(connections.keySet());
        if (open.isEmpty()) {
            listener.accept(answers);
            return;
        }
        connections.forEach(
                (agent, connection) -> {
                    PartQuestion question =
                            PartQuestion.newBuilder()
                                    .setSalt(salts.get(agent))
                                    .addAllParts(parts)
                                    .build();
                    connection
                            .call(Frame.newBuilder().setPartQuestion(question), PATIENCE)
                            .whenComplete(
                                    (frame, failure) -> {
                                        if (failure == null) {
                                            answers.put(agent, frame.getPartAnswer());
                                        }
                                        if (open.remove(agent) && open.isEmpty()) {
                                            listener.accept(answers);
                                        }
                                    });
                });
    }

    private WireClient connect(String text) {
        Address address = Address.parse(text);
        return WireClient.connect(
                mWire, new InetSocketAddress(address.host(), address.port()), NO_REQUESTS);
    }
}
