package org.ibisstand.gateway;

import static org.ibisstand.gateway.ScriptedServer.header;
import static org.ibisstand.gateway.ScriptedServer.whole;
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
import org.ibisstand.gateway.RunLog.Step;
import org.ibisstand.gateway.VersionedFleet.Finding;

/**
 * A model engine whose cached parts and runs remember the weights that made them. It makes events,
 * loads weights and preempts when a test says so, and reports every request that runs on memory of
 * other weights than its present ones.
 */
final class VersionedEngine implements ScriptedServer.Script, AutoCloseable {
    /** The events of a whole stream. */
    static final int EVENTS = 6;

    private static final int WRONG_WEIGHTS = 421;
    private static final int FULL = 503;
    private static final String REFUSED = "x-not-executed: 1\r\n";
    private static final long PATIENCE_SECONDS = 60;

    private final VersionedFleet mFleet;
    private final ScriptedServer mServer = ScriptedServer.start(this);
    private final VersionedParts mCache = new VersionedParts();
    private long mVersion;
    private boolean mLoading;
    private boolean mRefusesCopies;
    private Runnable mOnStopped = () -> {};
    private final SequencedMap<String, CountDownLatch> mHeld = new LinkedHashMap<>();
    private boolean mHoldsRefusals;

    VersionedEngine(VersionedFleet fleet, long version) {
        mFleet = fleet;
        mVersion = version;
        fleet.add(this);
    }

    /** One run and the connection that its stream is written to. */
    static final class Run {
        private final VersionedEngine mEngine;
        private final String mRequest;
        private final String mIdentifier;
        private final Socket mConnection;
        private final CountDownLatch mEnd = new CountDownLatch(1);
        private SortedSet<Long> mMemory = new TreeSet<>();
        private int mEvents;
        private long mToldVersion;
        private boolean mBegun;

        Run(VersionedEngine engine, String request, String identifier, Socket connection) {
            mEngine = engine;
            mRequest = request;
            mIdentifier = identifier;
            mConnection = connection;
            String last = header(request, "last-event-id");
            mEvents = last.isEmpty() ? 0 : Integer.parseInt(last);
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

    VersionedParts cache() {
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

    /** Sets what happens between the copy of a run that is stopped and the answer that says so. */
    void onStopped(boolean refusesCopies, Runnable task) {
        synchronized (mFleet) {
            mRefusesCopies = refusesCopies;
            mOnStopped = task;
        }
    }

    /** Keeps back what it refuses from now on. */
    void holdRefusals() {
        synchronized (mFleet) {
            mHoldsRefusals = true;
        }
    }

    /** Sends a refusal that was kept back, the first one first; returns whether there was any. */
    boolean releaseRefusal() {
        synchronized (mFleet) {
            mHoldsRefusals = false;
            if (mHeld.isEmpty()) {
                return false;
            }
            Map.Entry<String, CountDownLatch> first = mHeld.pollFirstEntry();
            tell(first.getKey(), Step.REFUSED);
            first.getValue().countDown();
            return true;
        }
    }

    /** Takes an order to load, and refuses requests from now on. */
    void beginLoad() {
        synchronized (mFleet) {
            mLoading = true;
        }
    }

    /** Refuses a request that has not started, because of an order; returns whether one had not. */
    boolean refuseWaiting() {
        synchronized (mFleet) {
            Optional<Run> waiting = waiting();
            waiting.ifPresent(
                    run -> {
                        mFleet.runs().remove(run.mIdentifier);
                        tell(run.mIdentifier, Step.REFUSED);
                        try {
                            whole(FULL, REFUSED, "")
                                    .answer(run.mRequest, run.mIdentifier, run.mConnection);
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                        run.mEnd.countDown();
                    });
            return waiting.isPresent();
        }
    }

    /** Returns whether no request runs here or waits for a refusal. */
    boolean isIdle() {
        synchronized (mFleet) {
            return mHeld.isEmpty()
                    && mFleet.runs().values().stream().noneMatch(run -> run.mEngine == this);
        }
    }

    boolean hasWaiting() {
        synchronized (mFleet) {
            return waiting().isPresent();
        }
    }

    /** Has other weights from now on, under which its runs go on. */
    void completeLoad(long version) {
        synchronized (mFleet) {
            mVersion = version;
            mLoading = false;
            mCache.drop();
        }
    }

    /** Reads the prompt and the events of a run again, under the present weights. */
    void preempt(String request) {
        synchronized (mFleet) {
            Run run = mFleet.runs().get(request);
            run.mMemory = new TreeSet<>(List.of(mVersion));
            run.parts().forEach(part -> keep(run, part, mVersion));
        }
    }

    /** Makes the next event of a run; the last one, for which it returns true, ends its stream. */
    boolean makeEvent(String request) {
        synchronized (mFleet) {
            Run run = mFleet.runs().get(request);
            run.mEvents++;
            run.mMemory.add(mVersion);
            String text = "id: %d\ndata: %d\n\n".formatted(run.mEvents, run.mEvents);
            if (run.mBegun && run.mToldVersion != mVersion) {
                text = "x-weights: " + mVersion + "\n" + text;
            }
            String head = run.mBegun ? "" : head(request);
            boolean isLast = run.mEvents == EVENTS;
            run.mBegun = true;
            run.mToldVersion = mVersion;
            try {
                write(run.mConnection, head + chunk(text) + (isLast ? "0\r\n\r\n" : ""));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            if (isLast) {
                mFleet.runs().remove(request);
                run.mEnd.countDown();
            }
            return isLast;
        }
    }

    @Override
    public void answer(String request, String identifier, Socket connection) throws IOException {
        if (request.startsWith("POST /move/")) {
            move(request, identifier, connection);
            return;
        }
        Run run = new Run(this, request, identifier, connection);
        int refusal = admit(run);
        if (refusal == 0) {
            tell(identifier, Step.ADMITTED);
            await(run.mEnd);
            return;
        }
        await(refusalGate(identifier));
        whole(refusal, REFUSED, "").answer(request, identifier, connection);
    }

    @Override
    public void close() {
        mServer.close();
        synchronized (mFleet) {
            mFleet.runs().values().forEach(run -> run.mEnd.countDown());
        }
    }

    /** Returns what a refusal waits for. */
    private CountDownLatch refusalGate(String request) {
        synchronized (mFleet) {
            CountDownLatch gate = new CountDownLatch(mHoldsRefusals ? 1 : 0);
            if (mHoldsRefusals) {
                mHeld.put(request, gate);
            }
            tell(request, mHoldsRefusals ? Step.REFUSAL_HELD : Step.REFUSED);
            return gate;
        }
    }

    private Optional<Run> waiting() {
        return mFleet.runs().values().stream()
                .filter(run -> run.mEngine == this && !run.mBegun)
                .findFirst();
    }

    /** Starts a run or lets one go on; returns the status of a refusal, or zero. */
    private int admit(Run run) {
        synchronized (mFleet) {
            String expected = header(run.mRequest, "x-expected-weights");
            if (!expected.isEmpty() && Long.parseLong(expected) != mVersion) {
                return WRONG_WEIGHTS;
            }
            if (mLoading) {
                return FULL;
            }
            String source = header(run.mRequest, "x-run-source");
            if (source.isEmpty()) {
                read(run);
            } else {
                Optional<SortedSet<Long>> memory = mFleet.take(source, address());
                if (memory.isEmpty()) {
                    return FULL;
                }
                goOn(run, memory.get(), source);
            }
            mFleet.runs().put(run.mIdentifier, run);
            return 0;
        }
    }

    private void goOn(Run run, SortedSet<Long> memory, String source) {
        run.mMemory = memory;
        if (memory.stream().anyMatch(version -> version != mVersion)) {
            found(run, memory, "run of " + mFleet.nameOf(source.split("/")[0]));
        }
        run.parts().forEach(part -> keep(run, part, memory.first()));
    }

    /** Takes what is cached or can be fetched of the first parts, and reads the rest. */
    private void read(Run run) {
        String source = header(run.mRequest, "x-source");
        boolean isCached = true;
        for (String part : run.parts()) {
            Optional<Long> cached = mCache.madeBy(run.salt(), part);
            Optional<Long> made =
                    isCached
                            ? cached.or(() -> mFleet.partsAt(source).madeBy(run.salt(), part))
                            : Optional.empty();
            isCached = made.isPresent();
            if (made.isPresent() && made.get() != mVersion) {
                String origin = cached.isPresent() ? "cache" : mFleet.nameOf(source);
                found(run, new TreeSet<>(List.of(made.get())), origin + ", part " + part);
            }
            run.mMemory.add(made.orElse(mVersion));
            keep(run, part, made.orElse(mVersion));
        }
    }

    private void keep(Run run, String part, long version) {
        mCache.keep(run.salt(), part, version);
        if (header(run.mRequest, "x-target").equals(VersionedFleet.STORE)) {
            mFleet.store().keep(run.salt(), part, version);
        }
    }

    private void found(Run run, SortedSet<Long> memory, String origin) {
        mFleet.found(
                new Finding(
                        run.mIdentifier,
                        mFleet.nameOf(address()),
                        run.salt(),
                        List.copyOf(memory),
                        mVersion,
                        origin));
    }

    /** Stops a run, closes its stream without an end and copies its memory. */
    private void move(String request, String identifier, Socket connection) throws IOException {
        String target = request.substring("POST /move/".length(), request.indexOf(" HTTP"));
        String handle = "";
        boolean isCopied;
        synchronized (mFleet) {
            isCopied = !mRefusesCopies;
            Run run = mFleet.runs().get(identifier);
            if (run != null && run.mEngine == this) {
                mFleet.runs().remove(identifier);
                handle =
                        mFleet.keep(
                                run.mMemory,
                                address(),
                                isCopied ? Optional.of(target) : Optional.empty());
                run.mConnection.close();
                run.mEnd.countDown();
                mOnStopped.run();
            }
        }
        if (handle.isEmpty()) {
            tell(identifier, Step.NOT_STOPPED);
        }
        whole(isCopied ? 200 : FULL, "", handle).answer(request, identifier, connection);
    }

    private String head(String request) {
        return "HTTP/1.1 200 X\r\nx-request: %s\r\nx-signature: s\r\nx-weights: %d\r\n"
                        .formatted(request, mVersion)
                + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private void tell(String request, Step step) {
        mFleet.log(request).add(step);
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            if (!latch.await(PATIENCE_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("no step came");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
