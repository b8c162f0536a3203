package org.ibisstand.operator;

import java.util.ArrayList;
import java.util.List;
import org.ibisstand.base.Digests;
import org.ibisstand.settings.Team;

/** Sets the values of one team. */
public final class TeamBuilder {
    private static final int WEIGHT = 1;
    private static final int CONCURRENT_REQUESTS = 100;
    private static final double REQUESTS_PER_SECOND = 50;

    private final String mName;
    private final List<String> mTokenDigests = new ArrayList<>();
    private final List<String> mModels = new ArrayList<>();
    private final List<String> mServices = new ArrayList<>();
    private int mWeight = WEIGHT;
    private int mConcurrentRequests = CONCURRENT_REQUESTS;
    private double mRequestsPerSecond = REQUESTS_PER_SECOND;

    TeamBuilder(String name) {
        mName = name;
    }

    /**
     * Adds a bearer token, of which only the digest is kept.
     *
     * @param token the token as the team sends it
     */
    public TeamBuilder token(String token) {
        return tokenDigest(Digests.hexadecimal(token));
    }

    /**
     * Adds a bearer token by its digest.
     *
     * @param digest the SHA-256 digest in hexadecimal, as {@code ibisstand token hash} prints it
     */
    public TeamBuilder tokenDigest(String digest) {
        mTokenDigests.add(digest);
        return this;
    }

    /** Sets the share among other teams of the same priority class; one by default. */
    public TeamBuilder weight(int weight) {
        mWeight = weight;
        return this;
    }

    /** Sets how many requests each entry serves for the team at once. */
    public TeamBuilder concurrentRequests(int requests) {
        mConcurrentRequests = requests;
        return this;
    }

    /** Sets how many requests a second each entry accepts from the team. */
    public TeamBuilder requestsPerSecond(double requests) {
        mRequestsPerSecond = requests;
        return this;
    }

    /** Allows the team to use a model. */
    public TeamBuilder model(String name) {
        mModels.add(name);
        return this;
    }

    /** Allows the team to use a service. */
    public TeamBuilder service(String name) {
        mServices.add(name);
        return this;
    }

    Team build() {
        return new Team(
                mName,
                mTokenDigests,
                mWeight,
                mConcurrentRequests,
                mRequestsPerSecond,
                mModels,
                mServices);
    }
}
