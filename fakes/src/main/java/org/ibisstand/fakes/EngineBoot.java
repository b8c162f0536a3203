package org.ibisstand.fakes;

import io.netty.util.concurrent.EventExecutor;
import java.util.List;
import org.ibisstand.base.BootIdentifier;

/**
 * One run of a fake engine, from start to crash.
 *
 * @param identifier names the run
 * @param scheduler runs the requests
 * @param cache holds the prompts
 * @param journal publishes the changes of the cache
 * @param loader holds the weights
 */
record EngineBoot(
        BootIdentifier identifier,
        EngineScheduler scheduler,
        EngineCache cache,
        EventJournal journal,
        WeightLoader loader) {
    static EngineBoot start(
            EventExecutor executor,
            FakeEngineOptions options,
            FakeEngineFaults faults,
            Runnable onCrash) {
        EngineCache cache = new EngineCache(options.cachePieces());
        EventJournal journal = new EventJournal();
        JournalObserver observer = new JournalObserver(journal, onCrash);
        EngineScheduler scheduler = new EngineScheduler(executor, options, cache, observer);
        observer.watch(scheduler);
        scheduler.setFaults(faults);
        WeightLoader loader = new WeightLoader(options.models(), options.honoursFencing());
        return new EngineBoot(BootIdentifier.create(), scheduler, cache, journal, loader);
    }

    /** Puts new weights in force; nothing that older weights computed is kept. */
    void finishLoad(WeightLoader.Order order) {
        loader.finish(order);
        cache.clear();
        journal.add("cleared", List.of(), false);
    }

    /** Publishes what the scheduler does to the cache, with events lost as the faults say. */
    private static final class JournalObserver implements EngineScheduler.Observer {
        private final EventJournal mJournal;
        private final Runnable mOnCrash;
        private EngineScheduler mScheduler;

        JournalObserver(EventJournal journal, Runnable onCrash) {
            mJournal = journal;
            mOnCrash = onCrash;
        }

        void watch(EngineScheduler scheduler) {
            mScheduler = scheduler;
        }

        @Override
        public void changed(EngineCache.Change change) {
            publish("stored", change.stored());
            publish("removed", change.removed());
        }

        @Override
        public void crash() {
            mOnCrash.run();
        }

        private void publish(String type, List<Long> hashes) {
            if (hashes.isEmpty()) {
                return;
            }
            int every = mScheduler.faults().dropEveryEvent();
            boolean lost = every > 0 && mJournal.nextSequence() % every == every - 1;
            mJournal.add(type, hashes, lost);
        }
    }
}
