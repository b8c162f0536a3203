package org.ibisstand.gateway;

import static org.ibisstand.gateway.ScriptedServer.completeResponse;
import static org.ibisstand.gateway.ScriptedServer.header;
import static org.ibisstand.gateway.ScriptedServer.write;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedMap;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.ibisstand.gateway.RequestTimeline.Step;
import org.ibisstand.gateway.VersionedFleet.Violation;

/**
 * A simulated engine that records for its cached parts and runs which weights versions computed
 * them. It sends events, loads weights and preempts runs when a test asks for it, and reports every
 * request that uses KV cache of other weights than its current ones.
 */
final class VersionedEngine implements ScriptedServer.Script, AutoCloseable {
    /** The number of events of a complete stream. */
    static final int EVENT_COUNT = 6;

    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String NOT_EXECUTED_HEADER = "x-not-executed: 1\r\n";
    private static final long STEP_TIMEOUT_SECONDS = 60;

    private final VersionedFleet mFleet;
    private final ScriptedServer mServer = ScriptedServer.start(this);
    private final VersionedKvCache mCache = new VersionedKvCache();
    private String mServerName;
    private long mVersion;
    private boolean mLoading;
    private boolean mRejectsCopies;
    private volatile Runnable mBeforeStop = () -> {};
    private Runnable mOnStopped = () -> {};
    private final SequencedMap<String, CountDownLatch> mDelayedRefusals = new LinkedHashMap<>();
    private boolean mDelaysRefusals;

    VersionedEngine(VersionedFleet fleet, long version) {
        mFleet = fleet;
        mVersion = version;
        mServerName = fleet.add(this);
    }

    /** A run and the connection that its stream is written to. */
    static final class Run {
        private final VersionedEngine mEngine;
        private final String mRequest;
        private final String mIdentifier;
        private final Socket mConnection;
        private final CountDownLatch mEnded = new CountDownLatch(1);
        private SortedSet<Long> mCacheVersions = new TreeSet<>();
        private int mEventCount;
        private long mReportedVersion;
        private boolean mStarted;
        private boolean mPrefilled;

        Run(VersionedEngine engine, String request, String identifier, Socket connection) {
            mEngine = engine;
            mRequest = request;
            mIdentifier = identifier;
            mConnection = connection;
            String lastEvent = header(request, "last-event-id");
            mEventCount = lastEvent.isEmpty() ? 0 : Integer.parseInt(lastEvent);
        }

        VersionedEngine engine() {
            return mEngine;
        }

        private String salt() {
            return header(mRequest, "x-salt");
        }

        private List<String> parts() {
            return PromptHeader.parts(header(mRequest, PromptHeader.NAME)).stream()
                    .map(Prompt.Part::identifier)
                    .toList();
        }
    }

    String address() {
        return mServer.address();
    }

    /** Returns the name of the server that requests must expect. */
    String serverName() {
        synchronized (mFleet) {
            return mServerName;
        }
    }

    VersionedKvCache cache() {
        return mCache;
    }

    long version() {
        synchronized (mFleet) {
            return mVersion;
        }
    }

    boolean isLoading() {
        synchronized (mFleet) {
            return mLoading;
        }
    }

    /**
     * Sets whether copies of stopped runs are rejected, and a task that runs after a run has been
     * stopped and copied, but before the response.
     */
    void onStopped(boolean rejectsCopies, Runnable task) {
        synchronized (mFleet) {
            mRejectsCopies = rejectsCopies;
            mOnStopped = task;
        }
    }

    /** Sets a task that runs when the gateway wants a run stopped, right before it is. */
    void beforeStop(Runnable task) {
        mBeforeStop = task;
    }

    /** Delays the response to every request that it refuses from now on. */
    void delayRefusals() {
        synchronized (mFleet) {
            mDelaysRefusals = true;
        }
    }

    /** Stops delaying and sends the oldest delayed refusal; returns whether there was one. */
    boolean sendDelayedRefusal() {
        synchronized (mFleet) {
            mDelaysRefusals = false;
            if (mDelayedRefusals.isEmpty()) {
                return false;
            }
            Map.Entry<String, CountDownLatch> oldest = mDelayedRefusals.pollFirstEntry();
            addStep(oldest.getKey(), Step.REFUSED);
            oldest.getValue().countDown();
            return true;
        }
    }

    /** Accepts an order to load weights, and refuses requests until the load is complete. */
    void beginLoad() {
        synchronized (mFleet) {
            mLoading = true;
        }
    }

    /** Refuses the first queued request because of a load; returns whether there was one. */
    boolean refuseQueued() {
        synchronized (mFleet) {
            Optional<Run> queued = firstQueued();
            queued.ifPresent(
                    run -> {
                        mFleet.runs().remove(run.mIdentifier);
                        addStep(run.mIdentifier, Step.REFUSED);
                        try {
                            completeResponse(SERVICE_UNAVAILABLE, NOT_EXECUTED_HEADER, "")
                                    .respond(run.mRequest, run.mIdentifier, run.mConnection);
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                        run.mEnded.countDown();
                    });
            return queued.isPresent();
        }
    }

    /** Returns whether no matching request runs or is queued here and no refusal is delayed. */
    boolean isIdle(Predicate<String> requests) {
        synchronized (mFleet) {
            return mDelayedRefusals.isEmpty()
                    && mFleet.runs().values().stream()
                            .noneMatch(
                                    run -> run.mEngine == this && requests.test(run.mIdentifier));
        }
    }

    boolean hasQueued() {
        synchronized (mFleet) {
            return firstQueued().isPresent();
        }
    }

    /** Returns how many of the parts, from the first on, are cached under a salt. */
    int cachedParts(String salt, List<String> parts) {
        synchronized (mFleet) {
            int count = 0;
            while (count < parts.size() && mCache.version(salt, parts.get(count)).isPresent()) {
                count++;
            }
            return count;
        }
    }

    /** Returns how many started or queued requests there are whose callers have not left. */
    int runCount(boolean isStarted) {
        synchronized (mFleet) {
            mFleet.runs()
                    .values()
                    .removeIf(
                            run ->
                                    run.mEngine == this
                                            && mFleet.timeline(run.mIdentifier).isFinished());
            return (int)
                    mFleet.runs().values().stream()
                            .filter(run -> run.mEngine == this && run.mStarted == isStarted)
                            .count();
        }
    }

    /** Drops all cached parts, for want of memory. */
    void evictCachedParts() {
        synchronized (mFleet) {
            mCache.clear();
        }
    }

    /** Resets the streams of all runs, which ends them. */
    void resetRuns() {
        synchronized (mFleet) {
            List<Run> runs =
                    mFleet.runs().values().stream().filter(run -> run.mEngine == this).toList();
            for (Run run : runs) {
                mFleet.runs().remove(run.mIdentifier);
                addStep(run.mIdentifier, Step.RESET);
                try {
                    run.mConnection.setSoLinger(true, 0);
                    run.mConnection.close();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                run.mEnded.countDown();
            }
        }
    }

    /** Starts a new incarnation at the same address, with its former weights and nothing cached. */
    void restart(String serverName) {
        synchronized (mFleet) {
            mServerName = serverName;
            mLoading = false;
            mCache.clear();
            mFleet.dropStoppedRuns(address());
            resetRuns();
        }
    }

    /** Switches to other weights; runs that have to finish first must have ended. */
    void completeLoad(long version, LoadMode mode) {
        synchronized (mFleet) {
            if (mode == LoadMode.RUNS_RESET) {
                resetRuns();
            } else if (mode == LoadMode.RUNS_FINISH_FIRST && runCount(true) + runCount(false) > 0) {
                throw new IllegalStateException("loads weights before its runs have finished");
            }
            mVersion = version;
            mLoading = false;
            mCache.clear();
        }
    }

    /** Recomputes the KV cache of a run's prompt and events with the current weights. */
    void recompute(String request) {
        synchronized (mFleet) {
            Run run = mFleet.runs().get(request);
            prefillOnce(run);
            run.mCacheVersions = new TreeSet<>(List.of(mVersion));
            run.parts().forEach(part -> addToCache(run, part, mVersion));
        }
    }

    /** Sends the next event of a run; returns whether it was the last, which ends the stream. */
    boolean sendEvent(String request) {
        synchronized (mFleet) {
            Run run = mFleet.runs().get(request);
            prefillOnce(run);
            run.mEventCount++;
            run.mCacheVersions.add(mVersion);
            String text = "id: %d\ndata: %d\n\n".formatted(run.mEventCount, run.mEventCount);
            if (run.mStarted && run.mReportedVersion != mVersion) {
                text = "x-weights: " + mVersion + "\n" + text;
            }
            String head = run.mStarted ? "" : responseHead(request);
            boolean isLast = run.mEventCount == EVENT_COUNT;
            run.mStarted = true;
            run.mReportedVersion = mVersion;
            try {
                write(run.mConnection, head + chunk(text) + (isLast ? "0\r\n\r\n" : ""));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            if (isLast) {
                mFleet.runs().remove(request);
                run.mEnded.countDown();
            }
            return isLast;
        }
    }

    @Override
    public void respond(String request, String identifier, Socket connection) throws IOException {
        if (RunCopies.isCall(request)) {
            new RunCopies(mFleet, this).respond(request, identifier, connection);
            return;
        }
        if (request.startsWith("POST /move/")) {
            move(request, identifier, connection);
            return;
        }
        Run run = new Run(this, request, identifier, connection);
        int refusal = admit(run);
        if (refusal == 0) {
            addStep(identifier, Step.ADMITTED);
            await(run.mEnded);
            return;
        }
        await(refusalLatch(identifier));
        completeResponse(refusal, NOT_EXECUTED_HEADER, "").respond(request, identifier, connection);
    }

    @Override
    public void close() {
        mServer.close();
        synchronized (mFleet) {
            mFleet.runs().values().forEach(run -> run.mEnded.countDown());
        }
    }

    /** Returns the latch that a refusal waits for, which is open unless refusals are delayed. */
    private CountDownLatch refusalLatch(String request) {
        synchronized (mFleet) {
            CountDownLatch latch = new CountDownLatch(mDelaysRefusals ? 1 : 0);
            if (mDelaysRefusals) {
                mDelayedRefusals.put(request, latch);
            }
            addStep(request, mDelaysRefusals ? Step.REFUSAL_DELAYED : Step.REFUSED);
            return latch;
        }
    }

    private Optional<Run> firstQueued() {
        return mFleet.runs().values().stream()
                .filter(run -> run.mEngine == this && !run.mStarted)
                .findFirst();
    }

    /** Starts or resumes a run; returns the status of a refusal, or zero. */
    private int admit(Run run) {
        synchronized (mFleet) {
            if (!header(run.mRequest, "x-expected-server").equals(mServerName)) {
                return MISDIRECTED_REQUEST;
            }
            String expected = header(run.mRequest, "x-expected-weights");
            if (!expected.isEmpty() && Long.parseLong(expected) != mVersion) {
                return MISDIRECTED_REQUEST;
            }
            if (mLoading) {
                return SERVICE_UNAVAILABLE;
            }
            String source = header(run.mRequest, "x-run-source");
            if (source.isEmpty() && !mFleet.delaysPrefill()) {
                prefillOnce(run);
            } else if (!source.isEmpty()) {
                Optional<SortedSet<Long>> cacheVersions = mFleet.takeStoppedRun(source, address());
                if (cacheVersions.isEmpty()) {
                    return SERVICE_UNAVAILABLE;
                }
                resume(run, cacheVersions.get(), source);
            }
            mFleet.runs().put(run.mIdentifier, run);
            return 0;
        }
    }

    private void resume(Run run, SortedSet<Long> cacheVersions, String source) {
        run.mCacheVersions = cacheVersions;
        run.mPrefilled = true;
        if (cacheVersions.stream().anyMatch(version -> version != mVersion)) {
            addViolation(run, cacheVersions, "run of " + mFleet.nameOf(source.split("/")[0]));
        }
        run.parts().forEach(part -> addToCache(run, part, cacheVersions.first()));
    }

    private void prefillOnce(Run run) {
        if (!run.mPrefilled) {
            run.mPrefilled = true;
            prefill(run);
        }
    }

    /** Uses the longest prefix of parts that is cached or can be fetched, and computes the rest. */
    private void prefill(Run run) {
        String source = header(run.mRequest, "x-source");
        boolean isCached = true;
        for (String part : run.parts()) {
            Optional<Long> cached = mCache.version(run.salt(), part);
            Optional<Long> version =
                    isCached
                            ? cached.or(() -> mFleet.cacheAt(source).version(run.salt(), part))
                            : Optional.empty();
            isCached = version.isPresent();
            if (isCached && cached.isEmpty()) {
                mFleet.addFetchedPart();
            }
            if (version.isPresent() && version.get() != mVersion) {
                String origin = cached.isPresent() ? "cache" : mFleet.nameOf(source);
                addViolation(run, new TreeSet<>(List.of(version.get())), origin + ", part " + part);
            }
            run.mCacheVersions.add(version.orElse(mVersion));
            addToCache(run, part, version.orElse(mVersion));
        }
    }

    private void addToCache(Run run, String part, long version) {
        mCache.putIfAbsent(run.salt(), part, version);
        if (header(run.mRequest, "x-target").equals(VersionedFleet.STORE)) {
            mFleet.store().putIfAbsent(run.salt(), part, version);
        }
    }

    private void addViolation(Run run, SortedSet<Long> cacheVersions, String source) {
        mFleet.addViolation(
                new Violation(
                        run.mIdentifier,
                        mFleet.nameOf(address()),
                        run.salt(),
                        List.copyOf(cacheVersions),
                        mVersion,
                        source));
    }

    /** Stops a run, closes its stream without the last chunk and copies its KV cache. */
    private void move(String request, String identifier, Socket connection) throws IOException {
        String target = request.substring("POST /move/".length(), request.indexOf(" HTTP"));
        String handle = "";
        boolean isCopied;
        mBeforeStop.run();
        synchronized (mFleet) {
            isCopied = !mRejectsCopies;
            Run run = mFleet.runs().get(identifier);
            if (run != null && run.mEngine == this) {
                mFleet.runs().remove(identifier);
                handle =
                        mFleet.storeStoppedRun(
                                run.mCacheVersions,
                                address(),
                                isCopied ? Optional.of(target) : Optional.empty());
                run.mConnection.close();
                run.mEnded.countDown();
                mOnStopped.run();
            }
        }
        if (handle.isEmpty()) {
            addStep(identifier, Step.NOT_STOPPED);
        }
        RunCopies.stopResponse(handle, isCopied).respond(request, identifier, connection);
    }

    private String responseHead(String request) {
        return "HTTP/1.1 200 X\r\nx-request: %s\r\nx-signature: s\r\nx-weights: %d\r\n"
                        .formatted(request, mVersion)
                + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private void addStep(String request, Step step) {
        mFleet.timeline(request).add(step);
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            if (!latch.await(STEP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("timed out waiting for the next step");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
