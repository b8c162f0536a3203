package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibisstand.base.AgentIdentifier;

/**
 * What one entry knows of the load of agents: its own requests in progress, and the queue that the
 * last reply of each agent carried. May be used by any thread.
 */
public final class AgentLoads {
    private static final Duration REPORT_HALF_LIFE = Duration.ofSeconds(1);

    private final Map<AgentIdentifier, Load> mLoads = new ConcurrentHashMap<>();

    /** Returns loads of agents of which nothing is known yet. */
    public static AgentLoads create() {
        return new AgentLoads();
    }

    private AgentLoads() {}

    /**
     * Counts a request that is sent to an agent.
     *
     * @param agent where it goes
     */
    public void started(AgentIdentifier agent) {
        load(agent).mOutstanding.incrementAndGet();
    }

    /**
     * Counts a request off that {@link #started} counted.
     *
     * @param agent where it went
     */
    public void finished(AgentIdentifier agent) {
        load(agent).mOutstanding.decrementAndGet();
    }

    /**
     * Notes the queue that an offer or a reply carried.
     *
     * @param agent whose queue
     * @param queued the requests that wait or run there, of all entries
     * @param now when it was received
     */
    public void queueReported(AgentIdentifier agent, int queued, Instant now) {
        Load load = load(agent);
        load.mReport = new Report(queued, load.mOutstanding.get(), now);
    }

    /**
     * Forgets an agent that is gone.
     *
     * @param agent its name
     */
    public void forget(AgentIdentifier agent) {
        mLoads.remove(agent);
    }

    /**
     * Returns this entry's requests in progress at an agent.
     *
     * @param agent its name
     */
    public int outstanding(AgentIdentifier agent) {
        return load(agent).mOutstanding.get();
    }

    /**
     * Estimates the requests at an agent: the last report, of which the part from other entries
     * halves with age, and this entry's own change since.
     *
     * @param agent its name
     * @param now the present
     */
    public double estimate(AgentIdentifier agent, Instant now) {
        Load load = load(agent);
        int outstanding = load.mOutstanding.get();
        Report report = load.mReport;
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
        private volatile Report mReport;
    }

    private record Report(int queued, int outstanding, Instant at) {}
}
