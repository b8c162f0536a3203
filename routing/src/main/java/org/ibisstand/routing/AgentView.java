package org.ibisstand.routing;

import java.util.List;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;

/**
 * What an entry knows about one live agent.
 *
 * @param agent the name, which stays the same over restarts
 * @param boot the present run of the agent
 * @param zone the availability zone of its VM
 * @param models the models that its backend server has loaded
 * @param services the plain services that its backend server answers for
 * @param leaving whether it takes no new work
 */
public record AgentView(
        AgentIdentifier agent,
        BootIdentifier boot,
        String zone,
        List<ServedModel> models,
        List<String> services,
        boolean leaving) {
    /** Copies the lists, so that a view never changes. */
    public AgentView {
        models = List.copyOf(models);
        services = List.copyOf(services);
    }
}
