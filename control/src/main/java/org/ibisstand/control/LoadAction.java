package org.ibisstand.control;

/** An action of the leader on one weight load. */
sealed interface LoadAction {
    /**
     * Takes a slot and a fencing number for a load, then sends the order to the agent.
     *
     * @param agent the agent whose engine is to load the weights
     * @param boot the boot of the agent that the order is for
     * @param model the model to load
     * @param weightsVersion the weights version to load
     */
    record Begin(String agent, long boot, String model, String weightsVersion)
            implements LoadAction {}

    /**
     * Frees the slot of a load that has ended.
     *
     * @param agent the agent whose engine has the weights
     * @param fencingNumber the fencing number of the load
     */
    record End(String agent, long fencingNumber) implements LoadAction {}
}
