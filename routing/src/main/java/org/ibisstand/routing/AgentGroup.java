package org.ibisstand.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.IntStream;
import org.ibisstand.base.AgentIdentifier;

/**
 * A set of agents that can serve the same work, ranked for any hash by rendezvous hashing.
 *
 * <p>Every process that knows the same agents ranks them in the same order, and the arrival or
 * departure of an agent does not reorder the others. The first two ranks of each of a fixed number
 * of hash buckets are cached, so that a decision costs the same for 6 agents as for 600. Immutable
 * and thread-safe.
 */
public final class AgentGroup {
    private static final int BUCKET_BITS = 14;
    private static final int POSITION_BITS = 16;
    private static final int POSITION_MASK = (1 << POSITION_BITS) - 1;
    private static final AgentGroup EMPTY = new AgentGroup(List.of());

    private final List<AgentView> mAgents;
    private final long[] mSeeds;
    private final AtomicIntegerArray mFirstTwoByBucket;

    private AgentGroup(List<AgentView> agents) {
        mAgents = agents;
        mSeeds = agents.stream().mapToLong(view -> Hashes.ofText(view.agent().value())).toArray();
        mFirstTwoByBucket = new AtomicIntegerArray(agents.isEmpty() ? 0 : 1 << BUCKET_BITS);
    }

    /**
     * Returns the group of the given agents.
     *
     * @param agents fewer than 65,535 agents, with distinct names
     * @throws IllegalArgumentException if there are too many agents
     */
    public static AgentGroup of(List<AgentView> agents) {
        if (agents.size() >= POSITION_MASK) {
            throw new IllegalArgumentException("too many agents in a group: " + agents.size());
        }
        return new AgentGroup(
                agents.stream().sorted(Comparator.comparing(AgentView::agent)).toList());
    }

    /** Returns an empty group. */
    public static AgentGroup empty() {
        return EMPTY;
    }

    /** Returns the number of agents. */
    public int size() {
        return mAgents.size();
    }

    /** Returns all agents, ordered by name. */
    public List<AgentView> agents() {
        return mAgents;
    }

    /**
     * Returns the agent at a position.
     *
     * @param position the index in the order of names, from zero
     */
    public AgentView agent(int position) {
        return mAgents.get(position);
    }

    /**
     * Finds an agent by name.
     *
     * @param agent the name of the agent
     */
    public Optional<AgentView> find(AgentIdentifier agent) {
        int low = 0;
        int high = mAgents.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = mAgents.get(middle).agent().compareTo(agent);
            if (order == 0) {
                return Optional.of(mAgents.get(middle));
            }
            if (order < 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the highest ranked agent for a hash; empty if the group is empty.
     *
     * @param hash a well mixed hash, such as one of a prefix chain
     */
    public Optional<AgentView> firstRanked(long hash) {
        return mAgents.isEmpty()
                ? Optional.empty()
                : agentAt(firstTwoPositions(hash) & POSITION_MASK);
    }

    /**
     * Returns the second ranked agent for a hash; empty if the group has fewer than two agents.
     *
     * @param hash a well mixed hash, such as one of a prefix chain
     */
    public Optional<AgentView> secondRanked(long hash) {
        return mAgents.isEmpty()
                ? Optional.empty()
                : agentAt(firstTwoPositions(hash) >>> POSITION_BITS);
    }

    /**
     * Returns all agents in rank order for a hash. Sorts the whole group on each call.
     *
     * @param hash a well mixed hash, such as one of a prefix chain
     */
    public List<AgentView> ranked(long hash) {
        long bucket = bucketOf(hash);
        // The complement of the score puts the highest score first.
        return IntStream.range(0, mSeeds.length)
                .boxed()
                .sorted(Comparator.comparingLong(position -> ~score(position, bucket)))
                .map(mAgents::get)
                .toList();
    }

    private Optional<AgentView> agentAt(int positionPlusOne) {
        return positionPlusOne == 0 ? Optional.empty() : Optional.of(agent(positionPlusOne - 1));
    }

    /**
     * Returns the positions of the first and the second ranked agent, each plus one, in the low and
     * the high half of an integer; a half is zero if there is no such agent.
     */
    private int firstTwoPositions(long hash) {
        int bucket = bucketOf(hash);
        int cached = mFirstTwoByBucket.getOpaque(bucket);
        if (cached != 0) {
            return cached;
        }
        // A race is harmless: every thread computes the same ranks.
        int found = findFirstTwoPositions(bucket);
        mFirstTwoByBucket.setOpaque(bucket, found);
        return found;
    }

    private int findFirstTwoPositions(long bucket) {
        int first = -1;
        int second = -1;
        for (int position = 0; position < mSeeds.length; position++) {
            if (first < 0 || ranksBefore(position, first, bucket)) {
                second = first;
                first = position;
            } else if (second < 0 || ranksBefore(position, second, bucket)) {
                second = position;
            }
        }
        return ((second + 1) << POSITION_BITS) | (first + 1);
    }

    private boolean ranksBefore(int position, int other, long bucket) {
        return score(position, bucket) > score(other, bucket);
    }

    private long score(int position, long bucket) {
        return Hashes.mix(mSeeds[position] ^ (bucket + 1) * 0x9E3779B97F4A7C15L);
    }

    private static int bucketOf(long hash) {
        return (int) (hash >>> (Long.SIZE - BUCKET_BITS));
    }
}
