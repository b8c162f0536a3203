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
 * The agents that announced themselves to this member, each under a lease; used only on the control
 * thread. The registry is not replicated: agents announce themselves to every member, so a
 * restarted member knows all of them within one lease. Watchers prefer the highest epoch, which is
 * that of the leader.
 */
final class Registry {
    static final int MAXIMUM_REMOVALS = 4096;
    static final int MAXIMUM_PREVIOUS_BOOTS = 4;

    private final Duration mGreatestLease;
    private final Map<String, LeasedAgent> mAgents = new TreeMap<>();
    private final Map<String, ArrayDeque<Long>> mPreviousBoots = new TreeMap<>();
    private final ArrayDeque<Removal> mRemovals = new ArrayDeque<>();
    private long mEpoch;
    private Instant mCompleteAt;
    private Instant mLastTick;
    private long mSequence = 1;
    private long mFirstCompleteSequence = Long.MAX_VALUE;
    private long mLastDiscardedRemoval;

    private Registry(Duration greatestLease, Instant now) {
        mGreatestLease = greatestLease;
        mCompleteAt = now.plus(greatestLease);
        mLastTick = now;
    }

    /**
     * Returns a registry without agents, which gives watchers no agent list until an epoch is set.
     *
     * @param greatestLease the longest lease to grant
     * @param now the current time
     */
    static Registry create(Duration greatestLease, Instant now) {
        return new Registry(greatestLease, now);
    }

    /**
     * Sets the epoch of the agent lists that watchers get; with zero they get none. After a change
     * of the epoch the registry counts as incomplete for one lease, since running agents may not
     * have announced themselves yet.
     */
    void setEpoch(long epoch, Instant now) {
        if (epoch != mEpoch) {
            mEpoch = epoch;
            mCompleteAt = now.plus(mGreatestLease);
            mFirstCompleteSequence = Long.MAX_VALUE;
        }
    }

    /**
     * Handles an announcement and returns the granted lease.
     *
     * @throws IbisstandException with FENCED if a later boot of the agent has announced itself
     */
    Duration announce(AgentRecord announced, Instant now) {
        String name = announced.getAgent();
        if (previousBootsOf(name).contains(announced.getBoot())) {
            throw new IbisstandException(
                    ErrorCode.FENCED, "a later boot of agent " + name + " has announced itself");
        }
        Duration lease = grantedLease(announced);
        AgentRecord record = announced.toBuilder().clearLeaseMilliseconds().build();
        LeasedAgent known = mAgents.get(name);
        if (known != null) {
            record = merge(known.record(), record);
        }
        if (known != null && known.record().equals(record)) {
            mAgents.put(name, known.renewUntil(now.plus(lease)));
        } else {
            mSequence++;
            mAgents.put(name, new LeasedAgent(record, now.plus(lease), mSequence));
        }
        return lease;
    }

    /**
     * Removes agents whose lease has expired; returns whether there is a change to send to
     * watchers.
     */
    boolean tick(Instant now) {
        long previousSequence = mSequence;
        extendLeasesAfterPause(now);
        boolean isComplete = !now.isBefore(mCompleteAt);
        if (isComplete && mFirstCompleteSequence == Long.MAX_VALUE) {
            mSequence++;
            mFirstCompleteSequence = mSequence;
        }
        List<String> expired =
                mAgents.values().stream()
                        .filter(agent -> !agent.leaseExpiry().isAfter(now))
                        .map(agent -> agent.record().getAgent())
                        .toList();
        expired.forEach(this::remove);
        return mSequence != previousSequence;
    }

    /**
     * Returns the update that brings a watcher from a sequence of an epoch to the current state.
     */
    RegistryUpdate updateSince(long epoch, long sequence) {
        if (mEpoch == 0) {
            return RegistryUpdate.NONE;
        }
        boolean isKnownPosition = epoch == mEpoch && sequence <= mSequence;
        boolean isComplete = mFirstCompleteSequence != Long.MAX_VALUE;
        boolean needsFullList =
                sequence < mLastDiscardedRemoval || sequence < mFirstCompleteSequence;
        if (isComplete && (!isKnownPosition || needsFullList)) {
            return toUpdate(true, records(0), List.of());
        }
        long sinceSequence = isKnownPosition ? sequence : 0;
        return toUpdate(false, records(sinceSequence), removedSince(sinceSequence));
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

    private RegistryUpdate toUpdate(
            boolean isFullList, List<AgentRecord> agents, List<String> removed) {
        return new RegistryUpdate(mEpoch, mSequence, isFullList, agents, removed);
    }

    private List<AgentRecord> records(long sinceSequence) {
        return mAgents.values().stream()
                .filter(agent -> agent.changedSequence() > sinceSequence)
                .map(LeasedAgent::record)
                .toList();
    }

    private List<String> removedSince(long sinceSequence) {
        List<String> names = new ArrayList<>();
        for (Removal removal : mRemovals) {
            boolean hasReturned = mAgents.containsKey(removal.agent());
            if (removal.sequence() > sinceSequence && !hasReturned) {
                names.add(removal.agent());
            }
        }
        return names.stream().distinct().toList();
    }

    // An agent that is leaving stays so until its next boot, whatever it announces.
    private AgentRecord merge(AgentRecord known, AgentRecord announced) {
        if (known.getBoot() != announced.getBoot()) {
            addPreviousBoot(known);
            return announced;
        }
        return announced.toBuilder()
                .setLeaving(announced.getLeaving() || known.getLeaving())
                .build();
    }

    private void addPreviousBoot(AgentRecord record) {
        ArrayDeque<Long> boots =
                mPreviousBoots.computeIfAbsent(record.getAgent(), name -> new ArrayDeque<>());
        boots.add(record.getBoot());
        if (boots.size() > MAXIMUM_PREVIOUS_BOOTS) {
            boots.remove();
        }
    }

    private ArrayDeque<Long> previousBootsOf(String agent) {
        return mPreviousBoots.getOrDefault(agent, new ArrayDeque<>());
    }

    private Duration grantedLease(AgentRecord record) {
        Duration requested = Duration.ofMillis(record.getLeaseMilliseconds());
        boolean isWithinLimit = requested.isPositive() && requested.compareTo(mGreatestLease) < 0;
        return isWithinLimit ? requested : mGreatestLease;
    }

    /**
     * Extends the leases by the time in which this process did not run, for example while it was
     * frozen.
     */
    private void extendLeasesAfterPause(Instant now) {
        Duration pause = Duration.between(mLastTick, now);
        mLastTick = now;
        if (pause.compareTo(mGreatestLease.dividedBy(2)) < 0) {
            return;
        }
        mAgents.replaceAll((name, agent) -> agent.renewUntil(agent.leaseExpiry().plus(pause)));
    }

    private void remove(String agent) {
        mSequence++;
        mAgents.remove(agent);
        mPreviousBoots.remove(agent);
        mRemovals.add(new Removal(agent, mSequence));
        if (mRemovals.size() > MAXIMUM_REMOVALS) {
            mLastDiscardedRemoval = mRemovals.remove().sequence();
        }
    }

    /**
     * The removal of an agent.
     *
     * @param agent the name of the agent
     * @param sequence the registry sequence of the removal
     */
    private record Removal(String agent, long sequence) {}
}
