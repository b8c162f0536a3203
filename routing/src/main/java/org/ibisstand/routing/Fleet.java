package org.ibisstand.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.ibisstand.base.AgentIdentifier;

/**
 * A snapshot of all live agents, indexed by what they serve.
 *
 * <p>An instance never changes and may be used by any thread; agents that are leaving are known but
 * belong to no group.
 */
public final class Fleet {
    private static final Fleet EMPTY = new Fleet(new TreeMap<>(), new HashMap<>(), new HashMap<>());

    private final TreeMap<AgentIdentifier, AgentView> mAgents;
    private final Map<ServedModel, AgentGroup> mByModel;
    private final Map<String, AgentGroup> mByService;

    private Fleet(
            TreeMap<AgentIdentifier, AgentView> agents,
            Map<ServedModel, AgentGroup> byModel,
            Map<String, AgentGroup> byService) {
        mAgents = agents;
        mByModel = byModel;
        mByService = byService;
    }

    /** Returns the snapshot without agents. */
    public static Fleet empty() {
        return EMPTY;
    }

    /**
     * Returns a snapshot of the given agents; of two with the same name the later stays.
     *
     * @param views all live agents
     */
    public static Fleet of(Collection<AgentView> views) {
        TreeMap<AgentIdentifier, AgentView> agents = new TreeMap<>();
        views.forEach(view -> agents.put(view.agent(), view));
        return index(agents, EMPTY);
    }

    /**
     * Returns a snapshot in which some agents are added, replaced or gone. Groups that stay the
     * same keep the ranks that they have found.
     *
     * @param changed the agents that are new or differ
     * @param removed the names of agents that are gone
     */
    public Fleet with(Collection<AgentView> changed, Collection<AgentIdentifier> removed) {
        TreeMap<AgentIdentifier, AgentView> agents = new TreeMap<>(mAgents);
        removed.forEach(agents::remove);
        changed.forEach(view -> agents.put(view.agent(), view));
        return agents.equals(mAgents) ? this : index(agents, this);
    }

    /** Returns all agents, also those that are leaving, in the order of their names. */
    public Collection<AgentView> agents() {
        return List.copyOf(mAgents.values());
    }

    /**
     * Finds an agent by its name, also one that is leaving.
     *
     * @param agent the name to look for
     */
    public Optional<AgentView> find(AgentIdentifier agent) {
        return Optional.ofNullable(mAgents.get(agent));
    }

    /**
     * Returns the agents that take new work for a model.
     *
     * @param model the model's name
     * @param weightsVersion the weights that must answer
     */
    public AgentGroup agentsForModel(String model, String weightsVersion) {
        return mByModel.getOrDefault(new ServedModel(model, weightsVersion), AgentGroup.empty());
    }

    /**
     * Returns the agents that take new work for a plain service.
     *
     * @param service the service's name
     */
    public AgentGroup agentsForService(String service) {
        return mByService.getOrDefault(service, AgentGroup.empty());
    }

    private static Fleet index(TreeMap<AgentIdentifier, AgentView> agents, Fleet before) {
        Map<ServedModel, List<AgentView>> byModel = new HashMap<>();
        Map<String, List<AgentView>> byService = new HashMap<>();
        for (AgentView view : agents.values()) {
            if (view.leaving()) {
                continue;
            }
            view.models().forEach(model -> add(byModel, model, view));
            view.services().forEach(service -> add(byService, service, view));
        }
        return new Fleet(
                agents, groups(byModel, before.mByModel), groups(byService, before.mByService));
    }

    private static <K> void add(Map<K, List<AgentView>> lists, K key, AgentView view) {
        lists.computeIfAbsent(key, unused -> new ArrayList<>()).add(view);
    }

    private static <K> Map<K, AgentGroup> groups(
            Map<K, List<AgentView>> lists, Map<K, AgentGroup> before) {
        Map<K, AgentGroup> groups = new HashMap<>();
        lists.forEach(
                (key, agents) -> {
                    AgentGroup earlier = before.getOrDefault(key, AgentGroup.empty());
                    boolean same = earlier.agents().equals(agents);
                    groups.put(key, same ? earlier : AgentGroup.of(agents));
                });
        return groups;
    }
}
