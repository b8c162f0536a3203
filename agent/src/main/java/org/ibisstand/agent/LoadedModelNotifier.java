package org.ibisstand.agent;

import java.util.Optional;
import java.util.concurrent.Executor;

/** Reports completed loads to the announcer, which is created after the order executor. */
final class LoadedModelNotifier {
    private final Executor mControlThread;
    private volatile Optional<Announcer> mAnnouncer = Optional.empty();

    LoadedModelNotifier(Executor controlThread) {
        mControlThread = controlThread;
    }

    void setAnnouncer(Announcer announcer) {
        mAnnouncer = Optional.of(announcer);
    }

    void notifyLoaded(String model, String weightsVersion) {
        mAnnouncer.ifPresent(
                announcer ->
                        mControlThread.execute(
                                () -> announcer.onModelLoaded(model, weightsVersion)));
    }
}
