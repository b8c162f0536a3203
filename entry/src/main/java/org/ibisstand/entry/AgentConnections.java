package org.ibisstand.entry;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireClient;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;

/** Keeps a connection to every live agent. All methods may be called from any thread. */
final class AgentConnections implements AutoCloseable {
    private static final FrameHandler NO_REQUESTS = (connection, frame) -> {};

    private final WireContext mContext;
    private final Map<AgentIdentifier, WireClient> mClients = new ConcurrentHashMap<>();

    AgentConnections(WireContext context) {
        mContext = context;
    }

    /** Returns the connection to an agent, if it is open. */
    Optional<WireConnection> find(AgentIdentifier agent) {
        return Optional.ofNullable(mClients.get(agent)).flatMap(WireClient::connection);
    }

    /**
     * Opens connections to new agents and closes those to agents that are gone.
     *
     * @param addresses host and port of every live agent
     */
    void update(Map<AgentIdentifier, String> addresses) {
        mClients.forEach(
                (agent, client) -> {
                    String address = addresses.get(agent);
                    if (address == null || !parse(address).equals(client.address())) {
                        mClients.remove(agent, client);
                        client.close();
                    }
                });
        addresses.forEach(
                (agent, address) ->
                        mClients.computeIfAbsent(
                                agent,
                                one -> WireClient.connect(mContext, parse(address), NO_REQUESTS)));
    }

    /** Returns how many connections are open. */
    int open() {
        return (int) mClients.values().stream().filter(one -> one.connection().isPresent()).count();
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        return new InetSocketAddress(address.substring(0, colon), port);
    }

    @Override
    public void close() {
        mClients.values().forEach(WireClient::close);
    }
}
