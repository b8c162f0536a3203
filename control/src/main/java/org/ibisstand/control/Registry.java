package org.ibisstand.control;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.wire.message.AgentRecord;

/**
 * The agents that announced themselves to this member, each under a lease; used on the control
 * thread alone. Nothing here is replicated: agents announce themselves to every member, so a
 * restarted member learns all of them within one lease. Watchers take the list of the leader, whose
 * epoch is the highest.
 */
final class Registry {
    static final int REMEMBERED_REMOVALS = 4096;
    static final int REMEMBERED_BOOTS = 4;

    private final Duration mGreatestLease;
    private final Map<String, LeasedAgent> mAgents = new TreeMap<>();
    private final Map<String, ArrayDeque<Long>> mEndedBoots = new TreeMap<>();
    private final ArrayDeque<Removal> mRemovals = new ArrayDeque<>();
    private long mEpoch;
    private Instant mCompleteAt;
    private Instant mLastTick;
    private long mSequence = 1;
    private long mFirstCompleteSequence = Long.MAX_VALUE;
    private long mForgottenRemoval;

    private Registry(Duration greatestLease, Instant now) {
        mGreatestLease = greatestLease;
        mCompleteAt = now.plus(greatestLease);
        mLastTick = now;
    }

    /**
     * Returns a registry without agents, which serves no watcher yet.
     *
     * @param greatestLease the longest lease that is granted
     * @param now the present time
     */
    static Registry create(Duration greatestLease, Instant now) {
        return new Registry(greatestLease, now);
    }

    /**
     * Serves watchers under another epoch from now on; zero serves none. The registry counts as
     * incomplete for one lease, in which agents that live may not have announced themselves yet.
     */
    void serveAs(long epoch, Instant now) {
        if (epoch != mEpoch) {
            mEpoch = epoch;
            mCompleteAt = now.plus(mGreatestLease);
            mFirstCompleteSequence = Long.MAX_VALUE;
        }
    }

    /**
     * Takes an announcement and returns the lease granted.
     *
     * @throws IbisstandException with FENCED if a later boot of the agent is known
     */
    Duration announce(AgentRecord announced, Instant now) {
        String name = announced.getAgent();
        if (endedBootsOf(name).contains(announced.getBoot())) {
            throw new IbisstandException(
                    ErrorCode.FENCED, "a later boot of agent " + name + " is known");
        }
        Duration lease = leaseOf(announced);
        AgentRecord record = announced.toBuilder().clearLeaseMilliseconds().build();
        LeasedAgent known = mAgents.get(name);
        if (known != null) {
            record = follow(known.record(), record);
        }
        if (known != null && known.record().equals(record)) {
            mAgents.put(name, known.renewed(now.plus(lease)));
        } else {
            mSequence++;
            mAgents.put(name, new LeasedAgent(record, now.plus(lease), mSequence));
        }
        return lease;
    }

    /** Removes agents whose lease has ended; returns whether any watcher has something to learn. */
    boolean tick(Instant now) {
        long before = mSequence;
        extendAfterPause(now);
        boolean complete = !now.isBefore(mCompleteAt);
        if (complete && mFirstCompleteSequence == Long.MAX_VALUE) {
            mSequence++;
            mFirstCompleteSequence = mSequence;
        }
        List<String> ended =
                mAgents.values().stream()
                        .filter(agent -> !agent.leaseEnds().isAfter(now))
                        .map(agent -> agent.record().getAgent())
                        .toList();
        ended.forEach(this::remove);
        return mSequence != before;
    }

    /** Returns what a watcher lacks that has reached the given sequence of the given epoch. */
    RegistryChange since(long epoch, long sequence) {
        if (mEpoch == 0) {
            return RegistryChange.NONE;
        }
        boolean known = epoch == mEpoch && sequence <= mSequence;
        boolean complete = mFirstCompleteSequence != Long.MAX_VALUE;
        boolean lagging = sequence < mForgottenRemoval || sequence < mFirstCompleteSequence;
        if (complete && (!known || lagging)) {
            return change(true, records(0), List.of());
        }
        long from = known ? sequence : 0;
        return change(false, records(from), removedSince(from));
    }

    long epoch() {
        return mEpoch;
    }

    long sequence() {
        return mSequence;
    }

    List<AgentRecord> agents() {
        return records(0);
    }

    private RegistryChange change(boolean whole, List<AgentRecord> agents, List<String> removed) {
        return new RegistryChange(mEpoch, mSequence, whole, agents, removed);
    }

    private List<AgentRecord> records(long from) {
        return mAgents.values().stream()
                .filter(agent -> agent.changedSequence() > from)
                .map(LeasedAgent::record)
                .toList();
    }

    private List<String> removedSince(long from) {
        List<String> names = new ArrayList<>();
        for (Removal removal : mRemovals) {
            boolean back = mAgents.containsKey(removal.agent());
            if (removal.sequence() > from && !back) {
                names.add(removal.agent());
            }
        }
        return names.stream().distinct().toList();
    }

    // An agent that has begun to leave stays leaving until its next boot.
    private AgentRecord follow(AgentRecord known, AgentRecord announced) {
        if (known.getBoot() != announced.getBoot()) {
            endBoot(known);
            return announced;
        }
        return announced.toBuilder()
                .setLeaving(announced.getLeaving() || known.getLeaving())
                .build();
    }

    private void endBoot(AgentRecord record) {
        ArrayDeque<Long> boots =
                mEndedBoots.computeIfAbsent(record.getAgent(), name -> new ArrayDeque<>());
        boots.add(record.getBoot());
        if (boots.size() > REMEMBERED_BOOTS) {
            boots.remove();
        }
    }

    private ArrayDeque<Long> endedBootsOf(String agent) {
        return mEndedBoots.getOrDefault(agent, new ArrayDeque<>());
    }

    private Duration leaseOf(AgentRecord record) {
        Duration asked = Duration.ofMillis(record.getLeaseMilliseconds());
        boolean bounded = asked.isPositive() && asked.compareTo(mGreatestLease) < 0;
        return bounded ? asked : mGreatestLease;
    }

    /** Gives leases back the time in which this process did not run, as after a freeze. */
    private void extendAfterPause(Instant now) {
        Duration pause = Duration.between(mLastTick, now);
        mLastTick = now;
        if (pause.compareTo(mGreatestLease.dividedBy(2)) < 0) {
            return;
        }
        mAgents.replaceAll((name, agent) -> agent.renewed(agent.leaseEnds().plus(pause)));
    }

    private void remove(String agent) {
        mSequence++;
        mAgents.remove(agent);
        mEndedBoots.remove(agent);
        mRemovals.add(new Removal(agent, mSequence));
        if (mRemovals.size() > REMEMBERED_REMOVALS) {
            mForgottenRemoval = mRemovals.remove().sequence();
        }
    }

    /**
     * An agent that was removed.
     *
     * @param agent its name
     * @param sequence the registry sequence of its removal
     */
    private record Removal(String agent, long sequence) {}
}
