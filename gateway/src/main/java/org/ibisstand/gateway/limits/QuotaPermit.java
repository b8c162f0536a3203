package org.ibisstand.gateway.limits;

import java.util.function.Consumer;
import org.ibisstand.settings.TeamQuota;

/** The units of one request in the quota of its team. Confined to the gateway's event loop. */
public final class QuotaPermit {
    private final QuotaGate mGate;
    private final String mTeam;
    private final TeamQuota mQuota;
    private final long mUnits;
    private boolean mGranted;
    private boolean mReturned;

    /**
     * Creates a permit that is not yet acquired.
     *
     * @param gate decides about it
     * @param team the name of the team
     * @param quota the quota of the team, which has a limit
     * @param units what the request counts
     */
    public QuotaPermit(QuotaGate gate, String team, TeamQuota quota, long units) {
        mGate = gate;
        mTeam = team;
        mQuota = quota;
        mUnits = units;
    }

    /** Returns the name of the team. */
    public String team() {
        return mTeam;
    }

    /** Returns what the request counts. */
    public long units() {
        return mUnits;
    }

    /**
     * Asks for the units, once.
     *
     * @param listener receives the decision, before this method returns or later; not called if the
     *     units were given back meanwhile
     */
    public void acquire(Consumer<QuotaDecision> listener) {
        mGate.decide(
                mTeam,
                mQuota,
                mUnits,
                decision -> {
                    mGranted = decision instanceof QuotaDecision.Granted;
                    if (!mReturned) {
                        listener.accept(decision);
                    } else if (mGranted) {
                        mGate.refund(mTeam, mUnits);
                    }
                });
    }

    /** Gives the units back, as the request ended and did not run. */
    public void refund() {
        if (!mReturned && mGranted) {
            mGate.refund(mTeam, mUnits);
        }
        mReturned = true;
    }
}
