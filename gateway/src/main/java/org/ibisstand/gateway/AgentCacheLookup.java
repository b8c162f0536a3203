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
 * Asks agents which parts of a prompt their engines have in the KV cache. An agent that does not
 * reply in time is left out of the result; its engine may still be chosen.
 *
 * <p>Confined to the gateway's event loop.
 */
final class AgentCacheLookup {
    /** Covers two round trips between availability zones and a short stall of an agent. */
    private static final Duration LOOKUP_TIMEOUT = Duration.ofMillis(10);

    private static final FrameHandler IGNORE_FRAMES = (connection, frame) -> {};

    private final WireContext mWire;
    private final Map<String, WireClient> mClientsByAgent = new HashMap<>();

    AgentCacheLookup(WireContext wire) {
        mWire = wire;
    }

    /** Connects to new agents and closes the connections to those that are not in the set. */
    void setAgents(Set<String> agents) {
        mClientsByAgent
                .entrySet()
                .removeIf(
                        client -> {
                            boolean isRemoved = !agents.contains(client.getKey());
                            if (isRemoved) {
                                client.getValue().close();
                            }
                            return isRemoved;
                        });
        agents.forEach(agent -> mClientsByAgent.computeIfAbsent(agent, this::connect));
    }

    /**
     * Looks up the shared parts of a prompt at several agents. Agents without a connection are
     * skipped.
     *
     * @param saltsByAgent the cache salt of the prompt for each agent to ask
     * @param parts the identifiers of the shared parts, in order
     * @param listener receives the replies by agent once all have arrived, or after the timeout
     */
    void lookUp(
            Map<String, String> saltsByAgent,
            List<String> parts,
            Consumer<Map<String, PartAnswer>> listener) {
        Map<String, PartAnswer> replies = new HashMap<>();
        Set<String> pending = new HashSet<>();
        Map<String, WireConnection> connections = new HashMap<>();
        saltsByAgent
                .keySet()
                .forEach(
                        agent ->
                                Optional.ofNullable(mClientsByAgent.get(agent))
                                        .flatMap(WireClient::connection)
                                        .ifPresent(
                                                connection -> connections.put(agent, connection)));
        pending.addAll(connections.keySet());
        if (pending.isEmpty()) {
            listener.accept(replies);
            return;
        }
        connections.forEach(
                (agent, connection) -> {
                    PartQuestion question =
                            PartQuestion.newBuilder()
                                    .setSalt(saltsByAgent.get(agent))
                                    .addAllParts(parts)
                                    .build();
                    connection
                            .call(Frame.newBuilder().setPartQuestion(question), LOOKUP_TIMEOUT)
                            .whenComplete(
                                    (frame, failure) -> {
                                        if (failure == null) {
                                            replies.put(agent, frame.getPartAnswer());
                                        }
                                        if (pending.remove(agent) && pending.isEmpty()) {
                                            listener.accept(replies);
                                        }
                                    });
                });
    }

    private WireClient connect(String hostAndPort) {
        Address address = Address.parse(hostAndPort);
        return WireClient.connect(
                mWire, new InetSocketAddress(address.host(), address.port()), IGNORE_FRAMES);
    }
}
