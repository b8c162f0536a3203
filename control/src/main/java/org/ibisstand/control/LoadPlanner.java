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

/** Decides which weight loads to begin, renew and end, without input or output. */
final class LoadPlanner {
    private final int mMaximumLoads;

    LoadPlanner(int maximumLoads) {
        mMaximumLoads = maximumLoads;
    }

    /**
     * Returns what to do now, in an order that equal inputs share.
     *
     * @param configuration names the weights in force
     * @param agents the agents that live
     * @param loads the loads that hold a place
     * @param isUnderWay whether this leader waits for the answer to the order of a load
     * @param isPaused whether an agent is left alone after a failed load
     */
    List<LoadAction> plan(
            Configuration configuration,
            List<AgentRecord> agents,
            Collection<Load> loads,
            Predicate<Load> isUnderWay,
            Predicate<String> isPaused) {
        Map<String, AgentRecord> living =
                agents.stream()
                        .collect(Collectors.toMap(AgentRecord::getAgent, Function.identity()));
        List<LoadAction> actions = new ArrayList<>();
        for (Load load : loads) {
            Optional.ofNullable(living.get(load.getAgent()))
                    .flatMap(agent -> continuation(load, agent, isUnderWay, isPaused))
                    .ifPresent(actions::add);
        }
        addNew(actions, configuration, agents, loads, isPaused);
        return actions;
    }

    /** An order whose answer is unknown is sent anew under a higher number. */
    private static Optional<LoadAction> continuation(
            Load load, AgentRecord agent, Predicate<Load> isUnderWay, Predicate<String> isPaused) {
        if (serves(agent, load.getModel(), load.getWeightsVersion())) {
            return Optional.of(new LoadAction.End(load.getAgent(), load.getFencingNumber()));
        }
        boolean sameBoot = agent.getBoot() == load.getBoot();
        if ((sameBoot && isUnderWay.test(load)) || isPaused.test(load.getAgent())) {
            return Optional.empty();
        }
        return Optional.of(
                new LoadAction.Begin(
                        load.getAgent(),
                        agent.getBoot(),
                        load.getModel(),
                        load.getWeightsVersion()));
    }

    private void addNew(
            List<LoadAction> actions,
            Configuration configuration,
            List<AgentRecord> agents,
            Collection<Load> loads,
            Predicate<String> isPaused) {
        int free = mMaximumLoads - loads.size();
        for (AgentRecord agent : agents) {
            boolean busy = loads.stream().anyMatch(one -> one.getAgent().equals(agent.getAgent()));
            if (free <= 0 || busy || agent.getLeaving() || isPaused.test(agent.getAgent())) {
                continue;
            }
            Optional<LoadAction> action = outdated(configuration, agent);
            if (action.isPresent()) {
                actions.add(action.get());
                free--;
            }
        }
    }

    private static Optional<LoadAction> outdated(Configuration configuration, AgentRecord agent) {
        for (ServedModel served : agent.getModelsList()) {
            Optional<Model> model = configuration.model(served.getModel());
            if (model.isPresent()
                    && !serves(agent, served.getModel(), model.get().weightsVersion())) {
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

    private static boolean serves(AgentRecord agent, String model, String weightsVersion) {
        return agent.getModelsList().stream()
                .anyMatch(
                        served ->
                                served.getModel().equals(model)
                                        && served.getWeightsVersion().equals(weightsVersion));
    }
}
