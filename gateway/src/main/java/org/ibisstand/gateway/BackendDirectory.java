package org.ibisstand.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.ServerRecord;

/** The backend servers that this entry knows, by service; for the traffic thread only. */
final class BackendDirectory {
    /** An entry may always use a few connections, whatever the servers' limits are. */
    private static final int LEAST_CONNECTIONS = 4;

    private final Map<String, BackendServer> mServers = new HashMap<>();
    private int mEntries = 1;
    private final Map<String, List<BackendServer>> mByService = new HashMap<>();

    /** Takes the servers that control lists now, and lets go of all others. */
    void update(Collection<ServerRecord> records, long now) {
        Set<String> listed = new HashSet<>();
        for (ServerRecord record : records) {
            listed.add(record.getServer());
            take(record, now);
        }
        mServers.entrySet()
                .removeIf(
                        server -> {
                            boolean leaves = !listed.contains(server.getKey());
                            if (leaves) {
                                server.getValue().remove(now);
                            }
                            return leaves;
                        });
        mByService.clear();
        mServers.values()
                .forEach(
                        server ->
                                mByService
                                        .computeIfAbsent(
                                                server.record().getService(),
                                                service -> new ArrayList<>())
                                        .add(server));
    }

    /** Sets how many entries share the connections that a server accepts. */
    void shareWith(int entries) {
        mEntries = Math.max(1, entries);
    }

    /** Returns the servers of a service that take requests, but for some. */
    List<BackendServer> ready(RoutedService service, Set<BackendServer> without) {
        int share = Math.max(LEAST_CONNECTIONS, service.maximumConnections() / mEntries);
        return mByService.getOrDefault(service.name(), List.of()).stream()
                .filter(server -> server.takesRequests() && !without.contains(server))
                .filter(server -> server.inFlight() < share)
                .toList();
    }

    /** Returns where the agents of the engines answer. */
    Set<String> agents(long now) {
        return mServers.values().stream()
                .flatMap(server -> server.notice(now).stream())
                .map(EngineNotice::getAgent)
                .filter(agent -> !agent.isEmpty())
                .collect(Collectors.toSet());
    }

    /** Takes what an agent says of the engine that announced this address. */
    void noticed(EngineNotice notice, long now) {
        mServers.values().stream()
                .filter(server -> server.record().getAddress().equals(notice.getAddress()))
                .forEach(server -> server.noticed(notice, now));
    }

    Collection<BackendServer> all() {
        return mServers.values();
    }

    private void take(ServerRecord record, long now) {
        BackendServer known = mServers.get(record.getServer());
        boolean isSame =
                known != null
                        && known.record().getBornMilliseconds() == record.getBornMilliseconds()
                        && known.record().getAddress().equals(record.getAddress());
        if (isSame) {
            known.renew(record, now);
            if (!known.takesRequests()) {
                known.closeIdle();
            }
            return;
        }
        if (known != null) {
            known.remove(now);
        }
        mServers.put(record.getServer(), new BackendServer(record));
    }
}
