package org.ibisstand.agent;

import java.util.Optional;
import java.util.concurrent.Executor;

/** Passes finished loads to the announcer, which is made after the gate for orders. */
final class LoadedModels {
    private final Executor mControlThread;
    private volatile Optional<Announcer> mAnnouncer = Optional.empty();

    LoadedModels(Executor controlThread) {
        mControlThread = controlThread;
    }

    void announceBy(Announcer announcer) {
        mAnnouncer = Optional.of(announcer);
    }

    void report(String model, String weightsVersion) {
        mAnnouncer.ifPresent(
                announcer -> mControlThread.execute(() -> announcer.loaded(model, weightsVersion)));
    }
}
