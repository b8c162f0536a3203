package org.ibisstand.gateway;

import java.util.List;

/**
 * Predicts the time to the first event at each engine; a decision without input or output.
 *
 * <p>It answers the pattern of long prompts that share most of their tokens: the shared part has
 * one home, the same for all entries without any message between them, and goes elsewhere only when
 * the wait at its home is dearer than reading, or fetching, the part again.
 */
final class EngineCost {
    /** Prompt tokens that an engine reads in a millisecond: the order of present accelerators. */
    private static final double TOKENS_PER_MILLISECOND = 90;

    /** What one running request adds to the time of others: a share of a decoding step. */
    private static final double RUNNING_MILLISECONDS = 0.5;

    /** A request in an engine's queue has about this many tokens to read. */
    private static final double WAITING_TOKENS = 2_500;

    /** A transfer to another availability zone takes twice as long. */
    private static final double OTHER_ZONE_FACTOR = 2;

    private static final double BITS_PER_BYTE = 8;
    private static final double MEGABITS_TO_BITS_PER_MILLISECOND = 1_000;

    private EngineCost() {}

    /**
     * An engine that may take the prompt.
     *
     * @param name names the engine
     * @param zone the availability zone that it stands in
     * @param holdsShared whether this entry sent the shared part there of late
     * @param pendingTokens that this entry sent there and that have no first event yet
     * @param running requests, as last reported
     * @param waiting requests, as last reported
     * @param pacePercent how long work takes there, 100 is usual
     */
    record Engine(
            String name,
            String zone,
            boolean holdsShared,
            long pendingTokens,
            int running,
            int waiting,
            int pacePercent) {}

    /**
     * What a prompt is made of.
     *
     * @param sharedKey the same for prompts that share their first parts
     * @param sharedTokens the length of these parts
     * @param ownTokens all others
     */
    record Shape(String sharedKey, int sharedTokens, int ownTokens) {}

    /**
     * How KV cache moves between engines.
     *
     * @param bytesPerToken its size; zero if it does not move
     * @param linkMegabits the speed of an engine's link
     */
    record Transfer(long bytesPerToken, double linkMegabits) {
        double milliseconds(int tokens, boolean sameZone) {
            double bits = tokens * (double) bytesPerToken * BITS_PER_BYTE;
            double time = bits / (linkMegabits * MEGABITS_TO_BITS_PER_MILLISECOND);
            return sameZone ? time : time * OTHER_ZONE_FACTOR;
        }
    }

    /** Returns the index of the engine that is the home of a shared part. */
    static int home(String sharedKey, List<Engine> engines) {
        int home = 0;
        long highest = Long.MIN_VALUE;
        for (int index = 0; index < engines.size(); index++) {
            long rank = rank(sharedKey, engines.get(index).name());
            if (rank > highest) {
                highest = rank;
                home = index;
            }
        }
        return home;
    }

    /**
     * Returns the predicted milliseconds to the first event at an engine.
     *
     * @param engine the engine
     * @param shape of the prompt
     * @param home where the shared part is expected to be
     * @param transfer how the part could be fetched from its home
     */
    static double milliseconds(Engine engine, Shape shape, Engine home, Transfer transfer) {
        double tokens = shape.ownTokens() + engine.pendingTokens();
        tokens += engine.waiting() * WAITING_TOKENS;
        double time = tokens / TOKENS_PER_MILLISECOND + engine.running() * RUNNING_MILLISECONDS;
        if (!engine.holdsShared() && !engine.name().equals(home.name())) {
            double reading = shape.sharedTokens() / TOKENS_PER_MILLISECOND;
            boolean sameZone = engine.zone().equals(home.zone());
            time +=
                    transfer.bytesPerToken() == 0
                            ? reading
                            : Math.min(
                                    reading, transfer.milliseconds(shape.sharedTokens(), sameZone));
        }
        return time * engine.pacePercent() / 100;
    }

    private static long rank(String key, String name) {
        long hash = 0xcbf29ce484222325L;
        String text = key + '\n' + name;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * 0x100000001b3L;
        }
        hash ^= hash >>> 32;
        hash *= 0x9e3779b97f4a7c15L;
        return hash ^ (hash >>> 29);
    }
}
