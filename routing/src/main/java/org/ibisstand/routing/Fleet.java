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
 * A snapshot of all live agents, indexed by the models and services that they serve.
 *
 * <p>Agents that are leaving can be found by name, but belong to no group. Immutable and
 * thread-safe.
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

    /** Returns an empty snapshot. */
    public static Fleet empty() {
        return EMPTY;
    }

    /**
     * Returns a snapshot of the given agents. Of two agents with the same name the later is kept.
     *
     * @param views all live agents
     */
    public static Fleet of(Collection<AgentView> views) {
        TreeMap<AgentIdentifier, AgentView> agents = new TreeMap<>();
        views.forEach(view -> agents.put(view.agent(), view));
        return index(agents, EMPTY);
    }

    /**
     * Returns a snapshot with some agents added, replaced or removed. Unchanged groups are reused
     * with their cached ranks.
     *
     * @param changed the agents that are new or have changed
     * @param removed the names of agents that no longer exist
     */
    public Fleet with(Collection<AgentView> changed, Collection<AgentIdentifier> removed) {
        TreeMap<AgentIdentifier, AgentView> agents = new TreeMap<>(mAgents);
        removed.forEach(agents::remove);
        changed.forEach(view -> agents.put(view.agent(), view));
        return agents.equals(mAgents) ? this : index(agents, this);
    }

    /** Returns all agents, including those that are leaving, ordered by name. */
    public Collection<AgentView> agents() {
        return List.copyOf(mAgents.values());
    }

    /**
     * Finds an agent by name, even if it is leaving.
     *
     * @param agent the name of the agent
     */
    public Optional<AgentView> find(AgentIdentifier agent) {
        return Optional.ofNullable(mAgents.get(agent));
    }

    /**
     * Returns the agents that accept new work for a model.
     *
     * @param model the name of the model
     * @param weightsVersion the required version of its weights
     */
    public AgentGroup agentsForModel(String model, String weightsVersion) {
        return mByModel.getOrDefault(new ServedModel(model, weightsVersion), AgentGroup.empty());
    }

    /**
     * Returns the agents that accept new work for a plain service.
     *
     * @param service the name of the service
     */
    public AgentGroup agentsForService(String service) {
        return mByService.getOrDefault(service, AgentGroup.empty());
    }

    private static Fleet index(TreeMap<AgentIdentifier, AgentView> agents, Fleet previous) {
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
                agents, groups(byModel, previous.mByModel), groups(byService, previous.mByService));
    }

    private static <K> void add(Map<K, List<AgentView>> lists, K key, AgentView view) {
        lists.computeIfAbsent(key, unused -> new ArrayList<>()).add(view);
    }

    private static <K> Map<K, AgentGroup> groups(
            Map<K, List<AgentView>> lists, Map<K, AgentGroup> previousGroups) {
        Map<K, AgentGroup> groups = new HashMap<>();
        lists.forEach(
                (key, agents) -> {
                    AgentGroup previous = previousGroups.getOrDefault(key, AgentGroup.empty());
                    boolean isUnchanged = previous.agents().equals(agents);
                    groups.put(key, isUnchanged ? previous : AgentGroup.of(agents));
                });
        return groups;
    }
}
