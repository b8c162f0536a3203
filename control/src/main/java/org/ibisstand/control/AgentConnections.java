package org.ibisstand.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.AgentRecord;

/**
 * The connections on which agents announced themselves; orders to their engines are sent on the
 * same connections.
 */
final class AgentConnections {
    private final Map<String, Session> mSessions = new HashMap<>();

    private AgentConnections() {}

    static AgentConnections create() {
        return new AgentConnections();
    }

    void setConnection(WireConnection connection, AgentRecord agent) {
        mSessions.put(agent.getAgent(), new Session(connection, agent.getBoot()));
    }

    void closed(WireConnection connection) {
        mSessions.values().removeIf(session -> session.connection() == connection);
    }

    /** Returns the connection of an agent, if it is open and belongs to the given boot. */
    Optional<WireConnection> connection(String agent, long boot) {
        return Optional.ofNullable(mSessions.get(agent))
                .filter(session -> session.boot() == boot)
                .map(Session::connection)
                .filter(WireConnection::isOpen);
    }

    /** The last connection on which an agent announced itself, and the boot that it announced. */
    private record Session(WireConnection connection, long boot) {}
}
