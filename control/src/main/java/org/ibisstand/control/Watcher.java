package org.ibisstand.control;

import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.Watch;

/**
 * A process that watches the configuration and the registry, with the state that it was last sent.
 */
final class Watcher {
    private final WireConnection mConnection;
    private final long mCorrelation;
    private final String mProcess;
    private long mRevisionInForce;
    private long mRevisionSent;
    private long mRegistryEpoch;
    private long mRegistrySequence;
    private boolean mConfirmed;
    private boolean mWasUpdated;

    Watcher(WireConnection connection, long correlation, Watch watch) {
        mConnection = connection;
        mCorrelation = correlation;
        mProcess = watch.getProcess();
        mRevisionInForce = watch.getRevision();
        mRevisionSent = watch.getRevision();
        mRegistryEpoch = watch.getRegistryEpoch();
        mRegistrySequence = watch.getRegistrySequence();
    }

    WireConnection connection() {
        return mConnection;
    }

    long correlation() {
        return mCorrelation;
    }

    String process() {
        return mProcess;
    }

    long revisionInForce() {
        return mRevisionInForce;
    }

    long revisionSent() {
        return mRevisionSent;
    }

    long registryEpoch() {
        return mRegistryEpoch;
    }

    long registrySequence() {
        return mRegistrySequence;
    }

    void setRevisionInForce(Watch watch) {
        mRevisionInForce = watch.getRevision();
    }

    /** Returns whether the process needs an update. */
    boolean isBehind(long revision, RegistryUpdate registryUpdate, boolean confirmed) {
        return !mWasUpdated
                || mRevisionSent < revision
                || mRegistryEpoch != registryUpdate.epoch()
                || mRegistrySequence != registryUpdate.sequence()
                || mConfirmed != confirmed;
    }

    void markSent(long revision, RegistryUpdate registryUpdate, boolean confirmed) {
        mWasUpdated = true;
        mRevisionSent = Math.max(mRevisionSent, revision);
        mRegistryEpoch = registryUpdate.epoch();
        mRegistrySequence = registryUpdate.sequence();
        mConfirmed = confirmed;
    }
}
