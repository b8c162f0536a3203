package org.ibisstand.routing.overload;

/** Counts the requests that one engine has room for. */
public final class EngineRoom {
    /**
     * With more gateways than slots, each gateway must still be able to use every engine; two, as
     * one of the requests may be about to end.
     */
    private static final int MINIMUM_SHARE = 2;

    private EngineRoom() {}

    /**
     * Returns the room at an engine that reported its load recently.
     *
     * @param freeSlots the slots that no request occupies; may be negative
     * @param freeTokens the KV cache memory that no request occupies; may be negative
     * @param neededTokens the memory that one request needs until its end
     */
    public static int reported(int freeSlots, long freeTokens, long neededTokens) {
        long fitting = freeTokens / Math.max(1, neededTokens);
        return (int) Math.max(0, Math.min(freeSlots, fitting));
    }

    /**
     * Returns the room at an engine without a recent report, such as after a cold start of a whole
     * deployment: every gateway may use an equal share of the slots.
     *
     * @param slots how many requests the engine runs at once
     * @param gateways the number of gateways that use the engine
     * @param inFlight the requests of this gateway at the engine
     */
    public static int unreported(int slots, int gateways, int inFlight) {
        int share = Math.max(MINIMUM_SHARE, slots / Math.max(1, gateways));
        return Math.max(0, share - inFlight);
    }
}
