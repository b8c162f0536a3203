package org.ibisstand.control;

import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.Watch;

/** One process that follows the configuration and the registry, and how far it has come. */
final class Watcher {
    private final WireConnection mConnection;
    private final long mCorrelation;
    private final String mProcess;
    private long mRevisionInForce;
    private long mRevisionSent;
    private long mRegistryEpoch;
    private long mRegistrySequence;
    private boolean mConfirmed;
    private boolean mGreeted;

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

    void reports(Watch watch) {
        mRevisionInForce = watch.getRevision();
    }

    /** Returns whether the process lacks something of the present state. */
    boolean lags(long revision, RegistryChange change, boolean confirmed) {
        return !mGreeted
                || mRevisionSent < revision
                || mRegistryEpoch != change.epoch()
                || mRegistrySequence != change.sequence()
                || mConfirmed != confirmed;
    }

    void sent(long revision, RegistryChange change, boolean confirmed) {
        mGreeted = true;
        mRevisionSent = Math.max(mRevisionSent, revision);
        mRegistryEpoch = change.epoch();
        mRegistrySequence = change.sequence();
        mConfirmed = confirmed;
    }
}
