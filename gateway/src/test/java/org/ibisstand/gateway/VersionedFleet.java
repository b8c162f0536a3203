package org.ibisstand.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * State that engines share without the gateway: each other's cached parts, a KV cache store, and
 * stopped runs. Its monitor guards the state of all engines.
 */
final class VersionedFleet {
    /** Address of the store, where nothing listens: engines use it without a connection. */
    static final String STORE = "127.0.0.1:9";

    private final Map<String, VersionedEngine> mEngines = new LinkedHashMap<>();
    private final Map<String, VersionedEngine.Run> mRuns = new TreeMap<>();
    private final Map<String, StoppedRun> mStoppedRuns = new HashMap<>();
    private final VersionedKvCache mStore = new VersionedKvCache();
    private final List<Violation> mViolations = new ArrayList<>();
    private final Map<String, RequestTimeline> mTimelines = new ConcurrentHashMap<>();
    private boolean mDelaysPrefill;
    private int mHandleCount;
    private int mResumedRuns;
    private int mFetchedParts;

    /**
     * A request that used KV cache of other weights than its engine had.
     *
     * @param request its identifier
     * @param engine the engine that ran it
     * @param salt the cache salt of the request
     * @param cacheVersions the weights versions that computed the KV cache
     * @param engineVersion the weights version of the engine
     * @param source where the engine got the KV cache from
     */
    record Violation(
            String request,
            String engine,
            String salt,
            List<Long> cacheVersions,
            long engineVersion,
            String source) {}

    /**
     * The KV cache of a run that was stopped.
     *
     * @param cacheVersions the weights versions that computed it
     * @param holders the addresses of the engines that have a copy
     */
    private record StoppedRun(SortedSet<Long> cacheVersions, Set<String> holders) {}

    /** Adds an engine and returns the name of its server. */
    String add(VersionedEngine engine) {
        String server = "server-" + mEngines.size();
        mEngines.put(engine.address(), engine);
        return server;
    }

    /** Makes engines prefill a prompt right before its first event instead of on its arrival. */
    synchronized void delayPrefill() {
        mDelaysPrefill = true;
    }

    boolean delaysPrefill() {
        return mDelaysPrefill;
    }

    RequestTimeline timeline(String request) {
        return mTimelines.computeIfAbsent(request, identifier -> new RequestTimeline());
    }

    synchronized List<Violation> violations() {
        return List.copyOf(mViolations);
    }

    /** Returns how many stopped runs resumed from their KV cache. */
    synchronized int resumedRuns() {
        return mResumedRuns;
    }

    /** Returns how many parts engines fetched from each other and from the store. */
    synchronized int fetchedParts() {
        return mFetchedParts;
    }

    void addFetchedPart() {
        mFetchedParts++;
    }

    synchronized void restartStore() {
        mStore.clear();
    }

    /** Returns the engine that runs a request. */
    synchronized Optional<VersionedEngine> engineOf(String request) {
        return Optional.ofNullable(mRuns.get(request)).map(VersionedEngine.Run::engine);
    }

    Map<String, VersionedEngine.Run> runs() {
        return mRuns;
    }

    VersionedKvCache store() {
        return mStore;
    }

    void addViolation(Violation violation) {
        mViolations.add(violation);
    }

    /** Returns a name for an address that, unlike its port, is the same in every test run. */
    String nameOf(String address) {
        return address.equals(STORE)
                ? "store"
                : "engine " + List.copyOf(mEngines.keySet()).indexOf(address);
    }

    /** Returns the cache at an address, which is empty if there is no engine. */
    VersionedKvCache cacheAt(String address) {
        return address.equals(STORE)
                ? mStore
                : Optional.ofNullable(mEngines.get(address))
                        .map(VersionedEngine::cache)
                        .orElseGet(VersionedKvCache::new);
    }

    /** Stores the KV cache of a stopped run and returns its handle. */
    String storeStoppedRun(SortedSet<Long> cacheVersions, String source, Optional<String> target) {
        mHandleCount++;
        String handle = "h" + mHandleCount;
        Set<String> holders = new TreeSet<>(Set.of(source));
        target.ifPresent(holders::add);
        mStoppedRuns.put(source + "/" + handle, new StoppedRun(cacheVersions, holders));
        return handle;
    }

    /** Removes the copies of stopped runs that an engine has. */
    void dropStoppedRuns(String engine) {
        mStoppedRuns.values().forEach(stoppedRun -> stoppedRun.holders().remove(engine));
    }

    /** Removes and returns a stopped run, if the engine has a copy of its KV cache. */
    Optional<SortedSet<Long>> takeStoppedRun(String source, String engine) {
        StoppedRun stoppedRun = mStoppedRuns.get(source);
        if (stoppedRun == null || !stoppedRun.holders().contains(engine)) {
            return Optional.empty();
        }
        mStoppedRuns.remove(source);
        mResumedRuns++;
        return Optional.of(stoppedRun.cacheVersions());
    }
}
