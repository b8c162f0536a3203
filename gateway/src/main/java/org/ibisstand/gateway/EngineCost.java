package org.ibisstand.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Predicts the time to the first event at each engine; a decision without input or output.
 *
 * <p>It answers the pattern of long prompts that share most of their tokens: the shared part has
 * one home, the same for all entries without any message between them, and is fetched from there
 * when the wait at its home is dearer than the transfer.
 */
final class EngineCost {
    /** Prompt tokens that an engine reads in a millisecond: the order of present accelerators. */
    private static final double TOKENS_PER_MILLISECOND = 90;

    /** What one running request adds to the time of others: a share of a decoding step. */
    private static final double RUNNING_MILLISECONDS = 0.5;

    /** A request in an engine's queue has about this many tokens to read. */
    private static final double WAITING_TOKENS = 2_500;

    /** The request for a transfer and its first bytes, with a queue of other transfers. */
    private static final double TRANSFER_START_MILLISECONDS = 3;

    /** A transfer to another availability zone takes twice as long. */
    private static final double OTHER_ZONE_FACTOR = 2;

    /** A request that finds no memory waits for others to end, or pushes them out. */
    private static final double NO_MEMORY_MILLISECONDS = 300;

    private static final double BITS_PER_BYTE = 8;
    private static final double MEGABITS_TO_BITS_PER_MILLISECOND = 1_000;

    private EngineCost() {}

    /**
     * An engine that may take the prompt.
     *
     * @param name names the engine
     * @param zone the availability zone that it stands in
     * @param heldTokens of the shared parts that the engine holds, as far as known
     * @param pendingTokens that this entry sent there and that have no first event yet
     * @param running requests, as last reported
     * @param waiting requests, as last reported
     * @param pacePercent how long work takes there, 100 is usual
     * @param freeTokens memory that running requests leave, in tokens
     * @param penaltyMilliseconds what speaks against the engine beside its load
     */
    record Engine(
            String name,
            String zone,
            int heldTokens,
            long pendingTokens,
            int running,
            int waiting,
            int pacePercent,
            long freeTokens,
            double penaltyMilliseconds) {}

    /**
     * What a prompt is made of.
     *
     * @param sharedKey the same for prompts that share their first parts
     * @param sharedTokens the length of these parts
     * @param ownTokens all others of the prompt
     * @param outputTokens the most tokens of the answer
     */
    record Shape(String sharedKey, int sharedTokens, int ownTokens, int outputTokens) {}

    /**
     * How KV cache comes to an engine.
     *
     * @param bytesPerToken its size; zero if it does not move
     * @param linkMegabits the speed of the link that it comes over
     * @param zone where it comes from
     */
    record Transfer(long bytesPerToken, double linkMegabits, String zone) {
        double milliseconds(int tokens, String toZone) {
            double bits = tokens * (double) bytesPerToken * BITS_PER_BYTE;
            double time = bits / (linkMegabits * MEGABITS_TO_BITS_PER_MILLISECOND);
            double factor = zone.equals(toZone) ? 1 : OTHER_ZONE_FACTOR;
            return TRANSFER_START_MILLISECONDS + time * factor;
        }
    }

    /** Returns the engines in the order in which they are the home of a shared part. */
    static List<Engine> homes(String sharedKey, List<Engine> engines) {
        List<Home> homes = new ArrayList<>(engines.size());
        for (Engine engine : engines) {
            homes.add(new Home(engine, rank(sharedKey, engine.name())));
        }
        homes.sort(Comparator.comparingLong(Home::rank).reversed());
        return homes.stream().map(Home::engine).toList();
    }

    /**
     * Returns the engines with the least predicted time, the least first.
     *
     * @param engines to choose from
     * @param shape of the prompt
     * @param transfer how missing parts could be fetched
     * @param count how many to return at most
     */
    static List<Engine> cheapest(List<Engine> engines, Shape shape, Transfer transfer, int count) {
        List<Priced> priced = new ArrayList<>(engines.size());
        for (Engine engine : engines) {
            priced.add(new Priced(engine, milliseconds(engine, shape, transfer)));
        }
        priced.sort(Comparator.comparingDouble(Priced::milliseconds));
        return priced.stream().limit(count).map(Priced::engine).toList();
    }

    /**
     * Returns the predicted milliseconds to the first event at an engine.
     *
     * @param engine the engine
     * @param shape of the prompt
     * @param transfer how missing parts could be fetched
     */
    static double milliseconds(Engine engine, Shape shape, Transfer transfer) {
        double tokens = shape.ownTokens() + engine.pendingTokens();
        tokens += engine.waiting() * WAITING_TOKENS;
        double time = tokens / TOKENS_PER_MILLISECOND + engine.running() * RUNNING_MILLISECONDS;
        int missing = Math.max(0, shape.sharedTokens() - engine.heldTokens());
        if (missing > 0) {
            double reading = missing / TOKENS_PER_MILLISECOND;
            time +=
                    transfer.bytesPerToken() == 0
                            ? reading
                            : Math.min(reading, transfer.milliseconds(missing, engine.zone()));
        }
        long needed = (long) shape.ownTokens() + shape.outputTokens() + shape.sharedTokens();
        if (needed + engine.pendingTokens() > engine.freeTokens()) {
            time += NO_MEMORY_MILLISECONDS;
        }
        return time * engine.pacePercent() / 100 + engine.penaltyMilliseconds();
    }

    /** An engine and how much it is the home of a part. */
    private record Home(Engine engine, long rank) {}

    /** An engine and the predicted time there. */
    private record Priced(Engine engine, double milliseconds) {}

    private static long rank(String key, String name) {
        long hash = mix(mix(mix(0xcbf29ce484222325L, key), "\n"), name);
        hash ^= hash >>> 32;
        hash *= 0x9e3779b97f4a7c15L;
        return hash ^ (hash >>> 29);
    }

    private static long mix(long start, String text) {
        long hash = start;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * 0x100000001b3L;
        }
        return hash;
    }
}
