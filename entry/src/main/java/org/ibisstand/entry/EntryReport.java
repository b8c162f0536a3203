package org.ibisstand.entry;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.routing.AgentView;
import org.ibisstand.settings.EntrySettings;
import org.ibisstand.wire.ControlClient;

/** Gathers what the state dump of an entry shows. */
final class EntryReport {
    /**
     * The state of an entry.
     *
     * @param role always {@code entry}
     * @param process the name of the process
     * @param boot names this run
     * @param zone the availability zone
     * @param revision the configuration in force
     * @param confirmed whether a majority of control has confirmed it
     * @param requestsInProgress how many requests are being served
     * @param openAgentConnections to how many agents there is a connection
     * @param preferredControl the member of control that requests go to first
     * @param openControlConnections to how many members there is a connection
     * @param agents the live agents
     */
    record State(
            String role,
            String process,
            String boot,
            String zone,
            long revision,
            boolean confirmed,
            int requestsInProgress,
            int openAgentConnections,
            String preferredControl,
            int openControlConnections,
            List<AgentState> agents) {}

    /**
     * One agent as the entry sees it.
     *
     * @param agent its name
     * @param address host and port
     * @param boot names its present run
     * @param zone its availability zone
     * @param leaving whether it takes no new work
     * @param connected whether there is a connection
     * @param outstanding the requests of this entry in progress there
     */
    record AgentState(
            String agent,
            String address,
            String boot,
            String zone,
            boolean leaving,
            boolean connected,
            int outstanding) {}

    private final EntrySettings mSettings;
    private final BootIdentifier mBoot;
    private final AtomicReference<EntryState> mState;
    private final FlowContext mFlows;
    private final AgentConnections mAgents;
    private final ControlClient mControl;

    EntryReport(
            EntrySettings settings,
            BootIdentifier boot,
            AtomicReference<EntryState> state,
            FlowContext flows,
            AgentConnections agents,
            ControlClient control) {
        mSettings = settings;
        mBoot = boot;
        mState = state;
        mFlows = flows;
        mAgents = agents;
        mControl = control;
    }

    State state() {
        EntryState state = mState.get();
        return new State(
                "entry",
                mSettings.process(),
                mBoot.toString(),
                mSettings.zone(),
                state.revision(),
                state.confirmed(),
                mFlows.inProgress(),
                mAgents.open(),
                mControl.preferred().toString(),
                mControl.connections().size(),
                state.fleet().agents().stream().map(view -> agent(state, view)).toList());
    }

    private AgentState agent(EntryState state, AgentView view) {
        return new AgentState(
                view.agent().value(),
                state.addressOf(view.agent()).orElse(""),
                view.boot().toString(),
                view.zone(),
                view.leaving(),
                mAgents.find(view.agent()).isPresent(),
                mFlows.loads().outstanding(view.agent()));
    }
}
