package org.ibisstand.control;

/** What the leader does next about weight loads. */
sealed interface LoadAction {
    /**
     * Takes a place and a fencing number, then sends the order.
     *
     * @param agent whose engine loads
     * @param boot of the agent that the order is for
     * @param model what to load
     * @param weightsVersion the version to load
     */
    record Begin(String agent, long boot, String model, String weightsVersion)
            implements LoadAction {}

    /**
     * Frees the place of a load that has ended.
     *
     * @param agent whose engine has the weights
     * @param fencingNumber of the load
     */
    record End(String agent, long fencingNumber) implements LoadAction {}
}
