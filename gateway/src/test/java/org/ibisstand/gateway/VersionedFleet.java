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
 * What engines reach without the gateway: each other's parts, a store, and copies of runs. Its
 * monitor guards the state of all engines.
 */
final class VersionedFleet {
    /** Nothing listens there: engines reach the store without a connection. */
    static final String STORE = "127.0.0.1:9";

    private final Map<String, VersionedEngine> mEngines = new LinkedHashMap<>();
    private final Map<String, VersionedEngine.Run> mRuns = new TreeMap<>();
    private final Map<String, Copy> mCopies = new HashMap<>();
    private final VersionedParts mStore = new VersionedParts();
    private final List<Finding> mFindings = new ArrayList<>();
    private final Map<String, RunLog> mLogs = new ConcurrentHashMap<>();
    private int mHandles;
    private int mTaken;

    /**
     * A request that ran on memory of other weights than its engine had.
     *
     * @param request its identifier
     * @param engine where it ran
     * @param salt of the request
     * @param madeBy the versions that made the memory
     * @param present the version that the engine had
     * @param origin how the memory came there
     */
    record Finding(
            String request,
            String engine,
            String salt,
            List<Long> madeBy,
            long present,
            String origin) {}

    /**
     * The memory of a run that was stopped.
     *
     * @param memory the versions that made it
     * @param holders the addresses of the engines that hold it
     */
    private record Copy(SortedSet<Long> memory, Set<String> holders) {}

    void add(VersionedEngine engine) {
        mEngines.put(engine.address(), engine);
    }

    RunLog log(String request) {
        return mLogs.computeIfAbsent(request, one -> new RunLog());
    }

    synchronized List<Finding> findings() {
        return List.copyOf(mFindings);
    }

    /** Returns how many stopped runs went on from their memory. */
    synchronized int continuedRuns() {
        return mTaken;
    }

    synchronized void restartStore() {
        mStore.drop();
    }

    /** Returns where a request runs. */
    synchronized Optional<VersionedEngine> engineOf(String request) {
        return Optional.ofNullable(mRuns.get(request)).map(VersionedEngine.Run::engine);
    }

    Map<String, VersionedEngine.Run> runs() {
        return mRuns;
    }

    VersionedParts store() {
        return mStore;
    }

    void found(Finding finding) {
        mFindings.add(finding);
    }

    /** Returns what stands at an address, in words that are the same in every run. */
    String nameOf(String address) {
        return address.equals(STORE)
                ? "store"
                : "engine " + List.copyOf(mEngines.keySet()).indexOf(address);
    }

    /** Returns the parts at an address; none if nobody is there. */
    VersionedParts partsAt(String address) {
        return address.equals(STORE)
                ? mStore
                : Optional.ofNullable(mEngines.get(address))
                        .map(VersionedEngine::cache)
                        .orElseGet(VersionedParts::new);
    }

    /** Keeps the memory of a stopped run and returns its handle. */
    String keep(SortedSet<Long> memory, String source, Optional<String> target) {
        mHandles++;
        String handle = "h" + mHandles;
        Set<String> holders = new TreeSet<>(Set.of(source));
        target.ifPresent(holders::add);
        mCopies.put(source + "/" + handle, new Copy(memory, holders));
        return handle;
    }

    /** Hands memory over to an engine that holds it, once. */
    Optional<SortedSet<Long>> take(String source, String engine) {
        Copy copy = mCopies.get(source);
        if (copy == null || !copy.holders().contains(engine)) {
            return Optional.empty();
        }
        mCopies.remove(source);
        mTaken++;
        return Optional.of(copy.memory());
    }
}
