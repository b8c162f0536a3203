package org.ibisstand.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.ibisstand.control.message.Load;
import org.ibisstand.settings.Configuration;
import org.ibisstand.settings.Model;
import org.ibisstand.wire.message.AgentRecord;
import org.ibisstand.wire.message.ServedModel;

/** Decides which weight loads to begin, renew and end; does no I/O. */
final class LoadPlanner {
    private final int mMaximumLoads;

    LoadPlanner(int maximumLoads) {
        mMaximumLoads = maximumLoads;
    }

    /**
     * Returns the next actions; equal inputs give equal actions in equal order.
     *
     * @param configuration the configuration with the weights versions in force
     * @param agents the registered agents
     * @param loads the loads that hold a slot
     * @param isAwaitingReply whether this leader still waits for the reply to the order of a load
     * @param isPaused whether an agent gets no order for now because a load failed
     */
    List<LoadAction> plan(
            Configuration configuration,
            List<AgentRecord> agents,
            Collection<Load> loads,
            Predicate<Load> isAwaitingReply,
            Predicate<String> isPaused) {
        Map<String, AgentRecord> agentsByName =
                agents.stream()
                        .collect(Collectors.toMap(AgentRecord::getAgent, Function.identity()));
        List<LoadAction> actions = new ArrayList<>();
        for (Load load : loads) {
            Optional.ofNullable(agentsByName.get(load.getAgent()))
                    .flatMap(agent -> nextAction(load, agent, isAwaitingReply, isPaused))
                    .ifPresent(actions::add);
        }
        addNewLoads(actions, configuration, agents, loads, isPaused);
        return actions;
    }

    /**
     * Ends a load whose weights are served; renews one whose reply was lost or whose agent
     * restarted, under a higher fencing number.
     */
    private static Optional<LoadAction> nextAction(
            Load load,
            AgentRecord agent,
            Predicate<Load> isAwaitingReply,
            Predicate<String> isPaused) {
        if (servesVersion(agent, load.getModel(), load.getWeightsVersion())) {
            return Optional.of(new LoadAction.End(load.getAgent(), load.getFencingNumber()));
        }
        boolean isSameBoot = agent.getBoot() == load.getBoot();
        if ((isSameBoot && isAwaitingReply.test(load)) || isPaused.test(load.getAgent())) {
            return Optional.empty();
        }
        return Optional.of(
                new LoadAction.Begin(
                        load.getAgent(),
                        agent.getBoot(),
                        load.getModel(),
                        load.getWeightsVersion()));
    }

    private void addNewLoads(
            List<LoadAction> actions,
            Configuration configuration,
            List<AgentRecord> agents,
            Collection<Load> loads,
            Predicate<String> isPaused) {
        int freeSlots = mMaximumLoads - loads.size();
        for (AgentRecord agent : agents) {
            boolean isLoading =
                    loads.stream().anyMatch(load -> load.getAgent().equals(agent.getAgent()));
            if (freeSlots <= 0
                    || isLoading
                    || agent.getLeaving()
                    || isPaused.test(agent.getAgent())) {
                continue;
            }
            Optional<LoadAction> action = loadOutdatedModel(configuration, agent);
            if (action.isPresent()) {
                actions.add(action.get());
                freeSlots--;
            }
        }
    }

    private static Optional<LoadAction> loadOutdatedModel(
            Configuration configuration, AgentRecord agent) {
        for (ServedModel served : agent.getModelsList()) {
            Optional<Model> model = configuration.model(served.getModel());
            if (model.isPresent()
                    && !servesVersion(agent, served.getModel(), model.get().weightsVersion())) {
                return Optional.of(
                        new LoadAction.Begin(
                                agent.getAgent(),
                                agent.getBoot(),
                                served.getModel(),
                                model.get().weightsVersion()));
            }
        }
        return Optional.empty();
    }

    private static boolean servesVersion(AgentRecord agent, String model, String weightsVersion) {
        return agent.getModelsList().stream()
                .anyMatch(
                        served ->
                                served.getModel().equals(model)
                                        && served.getWeightsVersion().equals(weightsVersion));
    }
}
