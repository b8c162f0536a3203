package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibisstand.base.AgentIdentifier;

/**
 * The load of agents as known to one entry: its own outstanding requests, and the queue length in
 * the last reply or offer of each agent. Thread-safe.
 */
public final class AgentLoads {
    private static final Duration REPORT_HALF_LIFE = Duration.ofSeconds(1);

    private final Map<AgentIdentifier, Load> mLoads = new ConcurrentHashMap<>();

    /** Creates an instance without any known load. */
    public static AgentLoads create() {
        return new AgentLoads();
    }

    private AgentLoads() {}

    /**
     * Counts a request as sent to an agent.
     *
     * @param agent the agent that serves it
     */
    public void started(AgentIdentifier agent) {
        load(agent).mOutstanding.incrementAndGet();
    }

    /**
     * Counts a request as finished, after {@link #started}.
     *
     * @param agent the agent that served it
     */
    public void finished(AgentIdentifier agent) {
        load(agent).mOutstanding.decrementAndGet();
    }

    /**
     * Records the queue length in an offer or a reply.
     *
     * @param agent the agent that sent it
     * @param queued the number of requests of all entries that wait or run at the agent
     * @param now when it was received
     */
    public void queueReported(AgentIdentifier agent, int queued, Instant now) {
        Load load = load(agent);
        load.mReport = new QueueReport(queued, load.mOutstanding.get(), now);
    }

    /**
     * Removes the load of an agent that no longer exists.
     *
     * @param agent the name of the agent
     */
    public void forget(AgentIdentifier agent) {
        mLoads.remove(agent);
    }

    /**
     * Returns the number of this entry's outstanding requests at an agent.
     *
     * @param agent the name of the agent
     */
    public int outstanding(AgentIdentifier agent) {
        return load(agent).mOutstanding.get();
    }

    /**
     * Estimates the number of requests at an agent: this entry's outstanding requests, and the
     * requests of other entries in the last report, whose weight halves every second.
     *
     * @param agent the name of the agent
     * @param now the current time
     */
    public double estimate(AgentIdentifier agent, Instant now) {
        Load load = load(agent);
        int outstanding = load.mOutstanding.get();
        QueueReport report = load.mReport;
        if (report == null) {
            return outstanding;
        }
        double age = Duration.between(report.at(), now).toNanos();
        double weight = Math.pow(0.5, Math.max(0, age) / REPORT_HALF_LIFE.toNanos());
        int others = Math.max(0, report.queued() - report.outstanding());
        return outstanding + others * weight;
    }

    private Load load(AgentIdentifier agent) {
        return mLoads.computeIfAbsent(agent, unused -> new Load());
    }

    private static final class Load {
        private final AtomicInteger mOutstanding = new AtomicInteger();
        private volatile QueueReport mReport;
    }

    private record QueueReport(int queued, int outstanding, Instant at) {}
}
