package org.ibisstand.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.routing.AgentView;
import org.ibisstand.routing.CacheIndex;
import org.ibisstand.routing.Fleet;
import org.ibisstand.routing.QueuePolicy;
import org.ibisstand.routing.ServedModel;
import org.ibisstand.routing.WorkQueue;

/** Six engines and three services in three availability zones, each behind its agent. */
final class Cluster {
    static final int ENGINES = 6;
    static final int SERVICES = 3;
    static final int ZONES = 3;
    static final String MODEL = "model";
    static final String WEIGHTS_VERSION = "1";
    static final String SERVICE = "service";

    private static final int CACHE_PIECES = 120;

    private final Simulation mSimulation;
    private final List<AgentModel> mEngineAgents = new ArrayList<>();
    private final List<AgentModel> mServiceAgents = new ArrayList<>();
    private final List<EngineModel> mEngines = new ArrayList<>();
    private final Map<AgentIdentifier, AgentModel> mByName = new HashMap<>();
    private final Fleet mFleet;

    private Cluster(Simulation simulation, Contender contender, SplittableRandom random) {
        mSimulation = simulation;
        Set<Long> everComputed = new HashSet<>();
        for (int server = 0; server < ENGINES; server++) {
            addEngine(server, contender, everComputed, random.split());
        }
        for (int server = 0; server < SERVICES; server++) {
            addService(server, contender);
        }
        mFleet = Fleet.of(mByName.values().stream().map(AgentModel::view).toList());
    }

    static Cluster create(Simulation simulation, Contender contender, SplittableRandom random) {
        return new Cluster(simulation, contender, random);
    }

    static String zone(int number) {
        return "zone" + number % ZONES;
    }

    Fleet fleet() {
        return mFleet;
    }

    AgentModel agent(AgentIdentifier name) {
        return mByName.get(name);
    }

    List<AgentModel> engineAgents() {
        return mEngineAgents;
    }

    List<AgentModel> serviceAgents() {
        return mServiceAgents;
    }

    List<EngineModel> engines() {
        return mEngines;
    }

    private void addEngine(
            int server, Contender contender, Set<Long> everComputed, SplittableRandom random) {
        CacheIndex index = CacheIndex.create(mSimulation.clock());
        CacheEvents.Faults faults =
                contender instanceof Contender.Clairvoyant
                        ? CacheEvents.Faults.none()
                        : CacheEvents.Faults.usual();
        CacheEvents events = new CacheEvents(mSimulation, index, faults, random);
        EngineModel engine = new EngineModel(mSimulation, CACHE_PIECES, events, everComputed);
        mEngines.add(engine);
        WorkQueue queue = WorkQueue.create(enginePolicy(contender), index, mSimulation.clock());
        ServedModel model = new ServedModel(MODEL, WEIGHTS_VERSION);
        AgentView view = view("engine" + server, server, List.of(model), List.of());
        mEngineAgents.add(add(view, queue, engine, contender));
    }

    private void addService(int server, Contender contender) {
        CacheIndex index = CacheIndex.create(mSimulation.clock());
        WorkQueue queue = WorkQueue.create(servicePolicy(contender), index, mSimulation.clock());
        AgentView view = view("service" + server, server, List.of(), List.of(SERVICE));
        mServiceAgents.add(add(view, queue, new ServiceModel(mSimulation), contender));
    }

    private AgentModel add(AgentView view, WorkQueue queue, Backend backend, Contender contender) {
        boolean priorities = !(contender instanceof Contender.Naive);
        AgentModel agent = new AgentModel(mSimulation, view, queue, backend, priorities);
        mByName.put(view.agent(), agent);
        return agent;
    }

    private static AgentView view(
            String name, int server, List<ServedModel> models, List<String> services) {
        return new AgentView(
                new AgentIdentifier(name),
                new BootIdentifier(server + 1L),
                zone(server),
                models,
                services,
                false);
    }

    private static QueuePolicy enginePolicy(Contender contender) {
        return switch (contender) {
            case Contender.Product product -> product.engine();
            case Contender.Naive naive -> new QueuePolicy.FirstComeFirstServed(Integer.MAX_VALUE);
            case Contender.Clairvoyant clairvoyant ->
                    QueuePolicy.PriorityFairQueueing.forEngine(EngineModel.SEQUENCES);
        };
    }

    private static QueuePolicy servicePolicy(Contender contender) {
        return switch (contender) {
            case Contender.Product product -> product.service();
            case Contender.Naive naive -> new QueuePolicy.FirstComeFirstServed(Integer.MAX_VALUE);
            case Contender.Clairvoyant clairvoyant ->
                    QueuePolicy.PriorityFairQueueing.forService(ServiceModel.WORKERS);
        };
    }
}
