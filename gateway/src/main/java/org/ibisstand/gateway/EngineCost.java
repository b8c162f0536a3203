package org.ibisstand.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ibisstand.routing.rates.Prefill;

/**
 * Predicts the time to the first event at each engine. Pure computation, performs no I/O.
 *
 * <p>Designed for long prompts that share most of their tokens. Rendezvous hashing gives each
 * shared prefix one preferred engine, on which all gateways agree without exchanging messages. The
 * prefix is fetched from there when waiting for that engine would cost more than the transfer.
 */
final class EngineCost {
    /** Approximate prefill tokens of a request in an engine's queue. */
    private static final double TOKENS_PER_WAITING_REQUEST = 2_500;

    /** Time from the request to the first bytes, including the wait for other transfers. */
    private static final double TRANSFER_SETUP_MILLISECONDS = 3;

    /** A transfer to another availability zone takes twice as long. */
    private static final double CROSS_ZONE_FACTOR = 2;

    /** A request that finds no free memory waits for others to end, or preempts them. */
    private static final double NO_MEMORY_PENALTY_MILLISECONDS = 300;

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLISECOND_PER_MEGABIT = 1_000;

    private EngineCost() {}

    /**
     * An engine that may serve the prompt.
     *
     * @param name the name of the engine
     * @param zone the availability zone of the engine
     * @param cachedTokens tokens of the shared prefix in the engine's KV cache, as far as known
     * @param pendingTokens prompt tokens of this gateway's requests that await their first event
     * @param running the running requests, as last reported
     * @param waiting the queued requests, as last reported
     * @param speed how fast the engine works
     * @param freeCacheTokens KV cache memory that running requests leave free, in tokens
     * @param penaltyMilliseconds added for reasons other than load
     */
    record EngineState(
            String name,
            String zone,
            int cachedTokens,
            long pendingTokens,
            int running,
            int waiting,
            EngineSpeed speed,
            long freeCacheTokens,
            double penaltyMilliseconds) {}

    /**
     * The size of a prompt and its response.
     *
     * @param prefixKey the same for prompts that share their prefix
     * @param prefixTokens the tokens of the shared prefix
     * @param suffixTokens the other tokens of the prompt
     * @param maximumOutputTokens the most tokens that the response may have
     */
    record PromptSize(
            String prefixKey, int prefixTokens, int suffixTokens, int maximumOutputTokens) {}

    /**
     * The source of a KV cache transfer to an engine.
     *
     * @param bytesPerToken the size of the KV cache; zero if no transfer is possible
     * @param linkMegabits the speed of the source's link, in megabits per second
     * @param zone the availability zone of the source
     */
    record Transfer(long bytesPerToken, double linkMegabits, String zone) {
        double milliseconds(int tokens, String toZone) {
            double bits = tokens * (double) bytesPerToken * BITS_PER_BYTE;
            double time = bits / (linkMegabits * BITS_PER_MILLISECOND_PER_MEGABIT);
            double factor = zone.equals(toZone) ? 1 : CROSS_ZONE_FACTOR;
            return TRANSFER_SETUP_MILLISECONDS + time * factor;
        }
    }

    /** Returns the engines by their rendezvous hash score for a shared prefix, highest first. */
    static List<EngineState> rendezvousOrder(String prefixKey, List<EngineState> engines) {
        List<RankedEngine> ranked = new ArrayList<>(engines.size());
        for (EngineState engine : engines) {
            ranked.add(new RankedEngine(engine, rendezvousScore(prefixKey, engine.name())));
        }
        ranked.sort(Comparator.comparingLong(RankedEngine::score).reversed());
        return ranked.stream().map(RankedEngine::engine).toList();
    }

    /**
     * Returns the engines with the least predicted time, in ascending order.
     *
     * @param engines the engines to choose from
     * @param promptSize the size of the prompt
     * @param transfer the source that missing tokens can be fetched from
     * @param count the maximum number of engines to return
     */
    static List<EngineState> cheapest(
            List<EngineState> engines, PromptSize promptSize, Transfer transfer, int count) {
        List<Estimate> estimates = new ArrayList<>(engines.size());
        for (EngineState engine : engines) {
            estimates.add(new Estimate(engine, predictMilliseconds(engine, promptSize, transfer)));
        }
        estimates.sort(Comparator.comparingDouble(Estimate::milliseconds));
        return estimates.stream().limit(count).map(Estimate::engine).toList();
    }

    /**
     * Returns the predicted milliseconds to the first event at an engine.
     *
     * @param engine the engine
     * @param promptSize the size of the prompt
     * @param transfer the source that missing tokens can be fetched from
     */
    static double predictMilliseconds(
            EngineState engine, PromptSize promptSize, Transfer transfer) {
        double queuedTokens = promptSize.suffixTokens() + engine.pendingTokens();
        queuedTokens += engine.waiting() * TOKENS_PER_WAITING_REQUEST;
        double time =
                queuedTokens / engine.speed().tokensPerMillisecond()
                        + engine.running() * Prefill.MILLISECONDS_PER_RUNNING_REQUEST;
        int missingTokens = Math.max(0, promptSize.prefixTokens() - engine.cachedTokens());
        if (missingTokens > 0) {
            double prefill = missingTokens / engine.speed().tokensPerMillisecond();
            time +=
                    transfer.bytesPerToken() == 0
                            ? prefill
                            : Math.min(
                                    prefill, transfer.milliseconds(missingTokens, engine.zone()));
        }
        long neededTokens =
                (long) promptSize.suffixTokens()
                        + promptSize.maximumOutputTokens()
                        + promptSize.prefixTokens();
        if (neededTokens + engine.pendingTokens() > engine.freeCacheTokens()) {
            time += NO_MEMORY_PENALTY_MILLISECONDS;
        }
        return time * engine.speed().timeFactor() + engine.penaltyMilliseconds();
    }

    /** An engine with its rendezvous hash score for a prefix. */
    private record RankedEngine(EngineState engine, long score) {}

    /** An engine with its predicted time. */
    private record Estimate(EngineState engine, double milliseconds) {}

    /** Must not change: gateways of different releases must agree on the order. */
    private static long rendezvousScore(String key, String name) {
        long hash = fnv1a(fnv1a(fnv1a(0xcbf29ce484222325L, key), "\n"), name);
        hash ^= hash >>> 32;
        hash *= 0x9e3779b97f4a7c15L;
        return hash ^ (hash >>> 29);
    }

    private static long fnv1a(long start, String text) {
        long hash = start;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * 0x100000001b3L;
        }
        return hash;
    }
}
