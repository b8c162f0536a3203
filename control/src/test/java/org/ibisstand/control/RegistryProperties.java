package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.wire.message.AgentRecord;
import org.junit.jupiter.api.Test;

class RegistryProperties {
    private static final Duration LEASE = Duration.ofSeconds(10);
    private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);
    private static final Instant START_TIME = Instant.EPOCH;

    /** An input of the registry and of its reference model. */
    private sealed interface Step {
        record AgentAnnounced(int agent, int boot, boolean leaving) implements Step {}

        record ClockAdvanced(int seconds) implements Step {}

        record WatcherPolled(int watcher) implements Step {}

        record LeaderChanged() implements Step {}
    }

    /** The agents a watcher knows, updated as a real watcher updates them. */
    private static final class WatcherView {
        private final Map<String, AgentRecord> mAgents = new TreeMap<>();
        private long mEpoch;
        private long mSequence;

        private void poll(Registry registry) {
            RegistryUpdate update = registry.updateSince(mEpoch, mSequence);
            mEpoch = update.epoch();
            mSequence = update.sequence();
            if (update.isFullList()) {
                mAgents.clear();
            }
            update.removed().forEach(mAgents::remove);
            update.agents().forEach(agent -> mAgents.put(agent.getAgent(), agent));
        }
    }

    /** A reference model that keeps all agents, their leases and all their previous boots. */
    private static final class ReferenceRegistry {
        private final Map<String, AgentRecord> mAgents = new TreeMap<>();
        private final Map<String, Instant> mLeaseExpiries = new HashMap<>();
        private final Map<String, Set<Long>> mPreviousBoots = new HashMap<>();

        private boolean announce(AgentRecord agent, Instant now) {
            String name = agent.getAgent();
            AgentRecord known = mAgents.get(name);
            Set<Long> previousBoots =
                    mPreviousBoots.computeIfAbsent(name, unused -> new HashSet<>());
            if (previousBoots.contains(agent.getBoot())) {
                return false;
            }
            boolean isSameBoot = known != null && known.getBoot() == agent.getBoot();
            if (known != null && !isSameBoot) {
                previousBoots.add(known.getBoot());
            }
            boolean isLeaving = agent.getLeaving() || (isSameBoot && known.getLeaving());
            mAgents.put(name, agent.toBuilder().setLeaving(isLeaving).build());
            mLeaseExpiries.put(name, now.plus(LEASE));
            return true;
        }

        private void tick(Instant now) {
            Set<String> expired = new HashSet<>(mAgents.keySet());
            expired.removeIf(name -> mLeaseExpiries.get(name).isAfter(now));
            expired.forEach(mAgents::remove);
            expired.forEach(mPreviousBoots::remove);
        }
    }

    private static AgentRecord agentRecord(int number, long boot, boolean leaving) {
        return AgentRecord.newBuilder()
                .setAgent("agent-" + number)
                .setBoot(boot)
                .setLeaving(leaving)
                .build();
    }

    private static boolean announce(Registry registry, AgentRecord agent, Instant now) {
        try {
            registry.announce(agent, now);
            return true;
        } catch (IbisstandException e) {
            assertThat(e.code()).isEqualTo(ErrorCode.FENCED);
            return false;
        }
    }

    @Property(seed = "1", tries = 500)
    void everyWatcherReachesTheAgentsThatLive(@ForAll("schedules") List<Step> steps) {
        Registry registry = Registry.create(LEASE, START_TIME);
        registry.setEpoch(1, START_TIME);
        ReferenceRegistry reference = new ReferenceRegistry();
        List<WatcherView> views = List.of(new WatcherView(), new WatcherView());
        Instant now = START_TIME;
        long epoch = 1;
        for (Step step : steps) {
            switch (step) {
                case Step.AgentAnnounced announced -> {
                    AgentRecord agent =
                            agentRecord(announced.agent(), announced.boot(), announced.leaving());
                    assertThat(announce(registry, agent, now))
                            .isEqualTo(reference.announce(agent, now));
                }
                case Step.ClockAdvanced advanced ->
                        now = tick(registry, reference, now, advanced.seconds());
                case Step.WatcherPolled polled -> views.get(polled.watcher()).poll(registry);
                case Step.LeaderChanged changed -> registry.setEpoch(++epoch, now);
            }
            assertThat(registry.agents()).containsExactlyElementsIn(reference.mAgents.values());
        }
        tick(registry, reference, now, (int) LEASE.toSeconds());
        for (WatcherView view : views) {
            view.poll(registry);
            assertThat(view.mAgents).isEqualTo(reference.mAgents);
        }
    }

    private static Instant tick(
            Registry registry, ReferenceRegistry reference, Instant start, int seconds) {
        Instant now = start;
        for (int second = 0; second < seconds; second++) {
            now = now.plus(TICK_INTERVAL);
            registry.tick(now);
            reference.tick(now);
        }
        return now;
    }

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Step> announced =
                Combinators.combine(
                                Arbitraries.integers().between(0, 3),
                                Arbitraries.integers().between(1, 3),
                                Arbitraries.of(false, false, true))
                        .as(Step.AgentAnnounced::new);
        return Arbitraries.frequencyOf(
                        Tuple.of(6, announced),
                        Tuple.of(
                                3,
                                Arbitraries.integers().between(1, 6).map(Step.ClockAdvanced::new)),
                        Tuple.of(
                                3,
                                Arbitraries.integers().between(0, 1).map(Step.WatcherPolled::new)),
                        Tuple.of(1, Arbitraries.just(new Step.LeaderChanged())))
                .list()
                .ofMaxSize(60);
    }

    @Test
    void aWatcherBehindTheRememberedRemovalsGetsTheFullList() {
        Registry registry = Registry.create(LEASE, START_TIME);
        registry.setEpoch(1, START_TIME);
        WatcherView view = new WatcherView();
        Instant now = START_TIME;
        registry.announce(agentRecord(0, 1, false), now);
        view.poll(registry);
        for (int round = 0; round < Registry.MAXIMUM_REMOVALS + 2; round++) {
            registry.announce(agentRecord(1, round, false), now);
            for (int second = 0; second < LEASE.toSeconds(); second++) {
                now = now.plus(TICK_INTERVAL);
                registry.tick(now);
            }
        }
        assertThat(registry.updateSince(view.mEpoch, view.mSequence).isFullList()).isTrue();
        view.poll(registry);
        assertThat(view.mAgents).isEmpty();
    }

    @Test
    void leasesDoNotExpireWhileTheProcessIsPaused() {
        Registry registry = Registry.create(LEASE, START_TIME);
        registry.announce(agentRecord(0, 1, false), START_TIME);
        registry.tick(START_TIME.plus(LEASE.multipliedBy(100)));
        assertThat(registry.agents()).hasSize(1);
    }

    @Test
    void aFollowerSendsNoAgentsToWatchers() {
        Registry registry = Registry.create(LEASE, START_TIME);
        registry.announce(agentRecord(0, 1, false), START_TIME);
        assertThat(registry.updateSince(0, 0)).isEqualTo(RegistryUpdate.NONE);
    }

    @Test
    void aNewLeaderRemovesNoAgentThatMayNotHaveAnnouncedItselfYet() {
        Registry registry = Registry.create(LEASE, START_TIME);
        registry.setEpoch(2, START_TIME);
        assertThat(registry.updateSince(1, 5).isFullList()).isFalse();
        registry.tick(START_TIME.plus(LEASE));
        assertThat(registry.updateSince(1, 5).isFullList()).isTrue();
    }

    @Test
    void aPreviousBootStaysRefused() {
        Registry registry = Registry.create(LEASE, START_TIME);
        registry.announce(agentRecord(0, 1, false), START_TIME);
        registry.announce(agentRecord(0, 2, false), START_TIME);
        assertThrows(
                IbisstandException.class,
                () -> registry.announce(agentRecord(0, 1, false), START_TIME));
    }
}
