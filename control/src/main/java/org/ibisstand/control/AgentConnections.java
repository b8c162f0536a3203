package org.ibisstand.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.AgentRecord;

/** The connections that agents announced themselves over, which orders to engines go back on. */
final class AgentConnections {
    private final Map<String, Session> mSessions = new HashMap<>();

    private AgentConnections() {}

    static AgentConnections create() {
        return new AgentConnections();
    }

    void announced(WireConnection connection, AgentRecord agent) {
        mSessions.put(agent.getAgent(), new Session(connection, agent.getBoot()));
    }

    void closed(WireConnection connection) {
        mSessions.values().removeIf(session -> session.connection() == connection);
    }

    /** Finds the connection of an agent, if it is open and of the given boot. */
    Optional<WireConnection> connection(String agent, long boot) {
        return Optional.ofNullable(mSessions.get(agent))
                .filter(session -> session.boot() == boot)
                .map(Session::connection)
                .filter(WireConnection::isOpen);
    }

    /** The last connection that a boot of an agent announced itself over. */
    private record Session(WireConnection connection, long boot) {}
}
