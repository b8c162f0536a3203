package org.ibisstand.routing;

import java.util.List;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;

/**
 * A live agent as known to an entry.
 *
 * @param agent the agent's name, which is stable across restarts
 * @param boot the identifier of the agent's current boot
 * @param zone the availability zone of its VM
 * @param models the models that its backend server has loaded
 * @param services the plain services that its backend server provides
 * @param leaving whether it accepts no new work
 */
public record AgentView(
        AgentIdentifier agent,
        BootIdentifier boot,
        String zone,
        List<ServedModel> models,
        List<String> services,
        boolean leaving) {
    /** Copies the lists to keep the view immutable. */
    public AgentView {
        models = List.copyOf(models);
        services = List.copyOf(services);
    }
}
