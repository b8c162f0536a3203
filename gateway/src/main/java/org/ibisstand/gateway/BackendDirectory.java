package org.ibisstand.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ibisstand.wire.message.ServerRecord;

/** The backend servers that this entry knows, by service; for the traffic thread only. */
final class BackendDirectory {
    private final Map<String, BackendServer> mServers = new HashMap<>();
    private final Map<String, List<BackendServer>> mByService = new HashMap<>();

    /** Takes the servers that control lists now, and lets go of all others. */
    void update(Collection<ServerRecord> records) {
        Set<String> listed = new HashSet<>();
        for (ServerRecord record : records) {
            listed.add(record.getServer());
            take(record);
        }
        mServers.entrySet()
                .removeIf(
                        server -> {
                            boolean leaves = !listed.contains(server.getKey());
                            if (leaves) {
                                server.getValue().remove();
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

    /** Returns all servers of a service, those that leave among them. */
    List<BackendServer> servers(String service) {
        return mByService.getOrDefault(service, List.of());
    }

    Collection<BackendServer> all() {
        return mServers.values();
    }

    private void take(ServerRecord record) {
        BackendServer known = mServers.get(record.getServer());
        boolean isSame =
                known != null
                        && known.record().getBornMilliseconds() == record.getBornMilliseconds()
                        && known.record().getAddress().equals(record.getAddress());
        if (isSame) {
            known.renew(record);
            if (!known.takesRequests()) {
                known.closeIdle();
            }
            return;
        }
        if (known != null) {
            known.remove();
        }
        mServers.put(record.getServer(), new BackendServer(record));
    }
}
