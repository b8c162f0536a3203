package org.ibisstand.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.ibisstand.base.LogLine;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.ServerRecord;

/**
 * The backend servers that the control plane lists, by service.
 *
 * <p>Confined to the gateway's event loop.
 */
final class BackendDirectory {
    /** Each gateway may open this many to a server, even if its share of the limit is less. */
    private static final int MINIMUM_CONNECTIONS = 4;

    /** More than there are servers, and those delisted while late records may still arrive. */
    private static final int MAXIMUM_INCARNATIONS = 4_096;

    private final RandomGenerator mRandom;
    private final Map<String, BackendServer> mServersByName = new HashMap<>();

    /** Servers that may be listed again, as they were only silent for a while. */
    private final Map<Incarnation, BackendServer> mRemoved =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Incarnation, BackendServer> eldest) {
                    return size() > MAXIMUM_INCARNATIONS;
                }
            };

    private int mGatewayCount = 1;
    private final Map<String, List<BackendServer>> mServersByService = new HashMap<>();

    BackendDirectory(RandomGenerator random) {
        mRandom = random;
    }

    /** One start of a server. */
    private record Incarnation(String server, String address, long bornMilliseconds) {
        static Incarnation of(ServerRecord record) {
            return new Incarnation(
                    record.getServer(), record.getAddress(), record.getBornMilliseconds());
        }
    }

    /**
     * Adds or updates the servers that the control plane lists, and removes all others. A record
     * that cannot be used is skipped, so that the others are still followed.
     */
    void update(Collection<ServerRecord> records, long now) {
        Set<String> listed = new HashSet<>();
        for (ServerRecord record : records) {
            if (BackendServer.isUsable(record)) {
                listed.add(record.getServer());
                addOrUpdate(record, now);
            } else {
                logSkipped(record);
            }
        }
        mServersByName
                .entrySet()
                .removeIf(
                        server -> {
                            boolean isDelisted = !listed.contains(server.getKey());
                            if (isDelisted) {
                                remove("server_unlisted", server.getValue());
                            }
                            return isDelisted;
                        });
        mServersByService.clear();
        mServersByName
                .values()
                .forEach(
                        server ->
                                mServersByService
                                        .computeIfAbsent(
                                                server.record().getService(),
                                                service -> new ArrayList<>())
                                        .add(server));
    }

    /** Sets how many gateways share the connections that a server accepts. */
    void setGatewayCount(int gatewayCount) {
        mGatewayCount = Math.max(1, gatewayCount);
    }

    /**
     * Returns the servers of a service that accept requests, want one now and have fewer in flight
     * than this gateway's share of the connections, without the excluded ones.
     */
    List<BackendServer> available(RoutedService service, Set<BackendServer> excluded, long now) {
        int share = connectionShare(service);
        return mServersByService.getOrDefault(service.name(), List.of()).stream()
                .filter(server -> server.acceptsRequests() && !excluded.contains(server))
                .filter(server -> server.inFlight() < share && server.wantsRequest(now))
                .toList();
    }

    /** Returns whether a server accepts requests but this gateway has used up its share there. */
    boolean isAtConnectionLimit(RoutedService service, long now) {
        int share = connectionShare(service);
        return mServersByService.getOrDefault(service.name(), List.of()).stream()
                .filter(server -> server.acceptsRequests() && server.wantsRequest(now))
                .anyMatch(server -> server.inFlight() >= share);
    }

    private int connectionShare(RoutedService service) {
        return Math.max(MINIMUM_CONNECTIONS, service.maximumConnections() / mGatewayCount);
    }

    /**
     * Returns for how long no server of a service wants requests; zero if one wants some, or none
     * accepts any.
     */
    long pauseMilliseconds(RoutedService service, long now) {
        return mServersByService.getOrDefault(service.name(), List.of()).stream()
                .filter(BackendServer::acceptsRequests)
                .mapToLong(server -> server.pauseMilliseconds(now))
                .min()
                .orElse(0);
    }

    /** Returns the addresses where agents reply to cache lookups. */
    Set<String> agentAddresses(long now) {
        return mServersByName.values().stream()
                .flatMap(server -> server.notice(now).stream())
                .map(EngineNotice::getAgent)
                .filter(agent -> !agent.isEmpty())
                .collect(Collectors.toSet());
    }

    /** Updates the engine at the notice's address with what its agent reports. */
    void updateNotice(EngineNotice notice, long now) {
        mServersByName.values().stream()
                .filter(server -> server.record().getAddress().equals(notice.getAddress()))
                .forEach(server -> server.updateNotice(notice, now));
    }

    Collection<BackendServer> servers() {
        return mServersByName.values();
    }

    private static void logSkipped(ServerRecord record) {
        LogLine.warning("server_record_skipped")
                .with("server", record.getServer())
                .with("address", record.getAddress())
                .write();
    }

    private void addOrUpdate(ServerRecord record, long now) {
        BackendServer existing = mServersByName.get(record.getServer());
        boolean isSameIncarnation =
                existing != null
                        && existing.record().getBornMilliseconds() == record.getBornMilliseconds()
                        && existing.record().getAddress().equals(record.getAddress());
        if (isSameIncarnation) {
            ServerRecord.State previous = existing.record().getState();
            existing.update(record, now);
            if (record.getState() != previous) {
                logChanged("server_state_changed", existing);
            }
            if (!existing.acceptsRequests()) {
                existing.closeIdleConnections();
            }
            return;
        }
        if (existing != null) {
            remove("server_replaced", existing);
        }
        BackendServer server = findOrCreate(record, now);
        mServersByName.put(record.getServer(), server);
        logChanged("server_listed", server);
    }

    private void remove(String event, BackendServer server) {
        logChanged(event, server);
        server.markRemoved();
        mRemoved.put(Incarnation.of(server.record()), server);
    }

    /** Returns the server of an incarnation that was listed before, with its runs, or a new one. */
    private BackendServer findOrCreate(ServerRecord record, long now) {
        BackendServer removed = mRemoved.remove(Incarnation.of(record));
        if (removed == null) {
            return new BackendServer(record, new StatedAvailability(mRandom));
        }
        removed.update(record, now);
        removed.markListed();
        return removed;
    }

    private static void logChanged(String event, BackendServer server) {
        LogLine.info(event)
                .with("server", server.name())
                .with("address", server.address())
                .with("state", server.record().getState())
                .with("born", server.record().getBornMilliseconds())
                .with("sequence", server.record().getSequence())
                .with("in_flight", server.inFlight())
                .write();
    }
}
