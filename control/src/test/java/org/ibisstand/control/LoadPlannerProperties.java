package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.ibisstand.control.message.Load;
import org.ibisstand.settings.Configuration;
import org.ibisstand.settings.Model;
import org.ibisstand.wire.message.AgentRecord;
import org.ibisstand.wire.message.ServedModel;

class LoadPlannerProperties {
    private static final int MAXIMUM_LOADS = 2;
    private static final int AGENT_COUNT = 5;
    private static final String OLD_WEIGHTS_VERSION = "1";
    private static final String NEW_WEIGHTS_VERSION = "2";

    /** An event between two runs of the planner. */
    private enum Event {
        LOAD_FINISHED,
        REPLY_LOST,
        LEADER_CHANGED,
        AGENT_RESTARTED,
        ORDERS_REPEATED,
        ORDER_LOST,
        AGENT_UNREGISTERED,
        AGENT_REGISTERED
    }

    /** An event and the number of the agent that it concerns. */
    private record Step(Event event, int agent) {}

    /**
     * Simulates agents that reject orders with an outdated fencing number or for an earlier boot,
     * and engines that execute every order they receive.
     */
    private static final class FleetSimulation {
        private final LoadPlanner mPlanner = new LoadPlanner(MAXIMUM_LOADS);
        private final Map<String, String> mWeightsVersions = new HashMap<>();
        private final Map<String, Long> mBoots = new HashMap<>();
        private final Map<String, Long> mHighestFencingNumbers = new HashMap<>();
        private final Set<String> mLoadingAgents = new HashSet<>();
        private final Set<Long> mAwaitedFencingNumbers = new HashSet<>();
        private final List<Load> mSentOrders = new ArrayList<>();
        private final Set<String> mUnregisteredAgents = new HashSet<>();
        private ControlState mState = ControlState.empty();
        private boolean mLosesNextOrder;

        private FleetSimulation() {
            for (int agent = 0; agent < AGENT_COUNT; agent++) {
                mWeightsVersions.put("agent" + agent, OLD_WEIGHTS_VERSION);
                mBoots.put("agent" + agent, 1L);
            }
        }

        private List<AgentRecord> agents() {
            return mWeightsVersions.keySet().stream()
                    .filter(name -> !mUnregisteredAgents.contains(name))
                    .sorted()
                    .map(
                            name ->
                                    AgentRecord.newBuilder()
                                            .setAgent(name)
                                            .setBoot(mBoots.get(name))
                                            .addModels(
                                                    ServedModel.newBuilder()
                                                            .setModel("contracts")
                                                            .setWeightsVersion(
                                                                    mWeightsVersions.get(name)))
                                            .build())
                    .toList();
        }

        private void plan() {
            List<LoadAction> actions =
                    mPlanner.plan(
                            new Configuration(
                                    List.of(),
                                    List.of(
                                            new Model(
                                                    "contracts",
                                                    NEW_WEIGHTS_VERSION,
                                                    "standard",
                                                    1024)),
                                    List.of(),
                                    List.of()),
                            agents(),
                            mState.loads(),
                            load -> mAwaitedFencingNumbers.contains(load.getFencingNumber()),
                            agent -> false);
            for (LoadAction action : actions) {
                switch (action) {
                    case LoadAction.Begin begin -> beginLoad(begin);
                    case LoadAction.End end ->
                            mState.apply(TestCommands.endLoad(end.fencingNumber()));
                }
            }
        }

        private void beginLoad(LoadAction.Begin begin) {
            long fencingNumber =
                    mState.apply(TestCommands.beginLoad(0, begin.agent(), MAXIMUM_LOADS))
                            .getLoad()
                            .getFencingNumber();
            if (fencingNumber > 0 && !mLosesNextOrder) {
                mAwaitedFencingNumbers.add(fencingNumber);
                sendOrder(begin, fencingNumber);
            }
            mLosesNextOrder = false;
        }

        private void sendOrder(LoadAction.Begin begin, long fencingNumber) {
            Load order =
                    Load.newBuilder()
                            .setFencingNumber(fencingNumber)
                            .setAgent(begin.agent())
                            .setBoot(begin.boot())
                            .build();
            deliverOrder(order);
            mSentOrders.add(order);
        }

        private void deliverOrder(Load order) {
            long highestFencingNumber = mHighestFencingNumbers.getOrDefault(order.getAgent(), 0L);
            boolean isCurrentBoot = order.getBoot() == mBoots.get(order.getAgent());
            if (!isCurrentBoot || order.getFencingNumber() < highestFencingNumber) {
                return;
            }
            mHighestFencingNumbers.put(order.getAgent(), order.getFencingNumber());
            if (mWeightsVersions.get(order.getAgent()).equals(OLD_WEIGHTS_VERSION)) {
                mLoadingAgents.add(order.getAgent());
            }
        }

        private void apply(Step step) {
            String agent = "agent" + step.agent();
            switch (step.event()) {
                case LOAD_FINISHED -> finishLoad(agent);
                case REPLY_LOST ->
                        mAwaitedFencingNumbers.remove(
                                mHighestFencingNumbers.getOrDefault(agent, 0L));
                case LEADER_CHANGED -> {
                    mAwaitedFencingNumbers.clear();
                    mState = TestCommands.restoreFromSnapshot(mState);
                }
                case AGENT_RESTARTED -> {
                    mBoots.merge(agent, 1L, Long::sum);
                    mHighestFencingNumbers.remove(agent);
                }
                case ORDER_LOST -> mLosesNextOrder = true;
                case AGENT_UNREGISTERED -> mUnregisteredAgents.add(agent);
                case AGENT_REGISTERED -> mUnregisteredAgents.remove(agent);
                case ORDERS_REPEATED -> List.copyOf(mSentOrders).forEach(this::deliverOrder);
            }
        }

        private void finishLoad(String agent) {
            if (mLoadingAgents.remove(agent)) {
                mWeightsVersions.put(agent, NEW_WEIGHTS_VERSION);
            }
        }
    }

    @Property(seed = "1")
    void atMostTwoEnginesLoadAtOnceAndAllAreUpdatedInTheEnd(@ForAll("steps") List<Step> steps) {
        FleetSimulation simulation = new FleetSimulation();
        for (Step step : steps) {
            simulation.plan();
            assertThat(simulation.mLoadingAgents.size()).isAtMost(MAXIMUM_LOADS);
            simulation.apply(step);
            assertThat(simulation.mLoadingAgents.size()).isAtMost(MAXIMUM_LOADS);
        }
        simulation.mUnregisteredAgents.clear();
        for (int round = 0; round < AGENT_COUNT + 1; round++) {
            simulation.plan();
            Set.copyOf(simulation.mLoadingAgents).forEach(simulation::finishLoad);
            simulation.plan();
        }
        assertThat(new HashSet<>(simulation.mWeightsVersions.values()))
                .containsExactly(NEW_WEIGHTS_VERSION);
        assertThat(simulation.mState.loads()).isEmpty();
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Event.class),
                        Arbitraries.integers().between(0, AGENT_COUNT - 1))
                .as(Step::new)
                .list()
                .ofMaxSize(40);
    }
}
