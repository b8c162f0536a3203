package org.ibisstand.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Response;
import org.ibisstand.base.LogLine;
import org.ibisstand.routing.CacheIndex;

/**
 * Reads the stream of numbered cache events of the engine and applies them to the index.
 *
 * <p>Requests a snapshot after a gap in the sequence numbers, a restart of the engine or a new
 * connection. For the control thread only.
 */
final class CacheIndexUpdater {
    private static final long RECONNECT_MILLISECONDS = 300;
    private static final long SNAPSHOT_DELAY_MILLISECONDS = 500;
    private static final Duration UNLIMITED = Duration.ofDays(3650);
    private static final Duration SNAPSHOT_TIMEOUT = Duration.ofSeconds(10);

    /** Four times the 95,000 pieces of an engine in the largest fleet, with 21 bytes each. */
    private static final int MAXIMUM_SNAPSHOT_BYTES = 8 << 20;

    private final AsyncHttpClient mClient;
    private final String mUrl;
    private final CacheIndex mIndex;
    private final ScheduledExecutorService mControlThread;
    private final JsonMapper mMapper = JsonMapper.builder().build();
    private String mBoot = "";
    private long mNextSequence;
    private boolean mIsSnapshotScheduled;

    CacheIndexUpdater(
            AsyncHttpClient client,
            String url,
            CacheIndex index,
            ScheduledExecutorService controlThread) {
        mClient = client;
        mUrl = url;
        mIndex = index;
        mControlThread = controlThread;
    }

    void start() {
        LineReader reader =
                new LineReader(
                        (line, handled) ->
                                mControlThread.execute(
                                        () -> {
                                            onLine(line);
                                            handled.run();
                                        }),
                        () ->
                                mControlThread.schedule(
                                        this::start,
                                        RECONNECT_MILLISECONDS,
                                        TimeUnit.MILLISECONDS));
        mClient.prepareGet(mUrl + "?from=" + mNextSequence)
                .setRequestTimeout(UNLIMITED)
                .setReadTimeout(UNLIMITED)
                .execute(reader);
    }

    private void onLine(String line) {
        try {
            JsonNode event = mMapper.readTree(line);
            switch (event.path("type").asText("")) {
                case "stored" -> onStored(event);
                case "removed" -> onRemoved(event);
                case "cleared" -> onCleared(event);
                case "alive" -> onAlive(event.path("next_sequence").asLong());
                default -> onHead(event);
            }
        } catch (JsonProcessingException e) {
            LogLine.warning("engine_event_damaged").with("cause", e.getOriginalMessage()).write();
            scheduleSnapshot();
        }
    }

    private void onHead(JsonNode head) {
        String boot = head.path("boot").asText("");
        if (!boot.equals(mBoot)) {
            LogLine.info("engine_boot").with("boot", boot).write();
            mBoot = boot;
            mIndex.engineRestarted();
            mNextSequence = 0;
        }
        scheduleSnapshot();
    }

    private void onStored(JsonNode event) {
        mIndex.stored(advanceSequence(event), hashes(event));
    }

    private void onRemoved(JsonNode event) {
        mIndex.removed(advanceSequence(event), hashes(event));
    }

    private void onCleared(JsonNode event) {
        mIndex.cleared(advanceSequence(event));
    }

    private long advanceSequence(JsonNode event) {
        long sequence = event.path("sequence").asLong();
        if (sequence > mNextSequence) {
            scheduleSnapshot();
        }
        mNextSequence = Math.max(mNextSequence, sequence + 1);
        return sequence;
    }

    private void onAlive(long nextSequence) {
        if (nextSequence > mNextSequence) {
            scheduleSnapshot();
        }
    }

    private void scheduleSnapshot() {
        if (!mIsSnapshotScheduled) {
            mIsSnapshotScheduled = true;
            // The delay lets one snapshot repair several gaps in quick succession.
            mControlThread.schedule(
                    this::fetchSnapshot, SNAPSHOT_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }

    private void fetchSnapshot() {
        mIsSnapshotScheduled = false;
        mClient.prepareGet(mUrl + "/snapshot")
                .setRequestTimeout(SNAPSHOT_TIMEOUT)
                .execute(new BoundedResponseHandler(MAXIMUM_SNAPSHOT_BYTES))
                .toCompletableFuture()
                .thenAcceptAsync(this::onSnapshot, mControlThread)
                .exceptionally(CacheIndexUpdater::logSnapshotFailure);
    }

    private static Void logSnapshotFailure(Throwable failure) {
        LogLine.warning("engine_snapshot_lost").with("reason", failure.getMessage()).write();
        return null;
    }

    private void onSnapshot(Response response) {
        try {
            JsonNode snapshot = mMapper.readTree(response.getResponseBody());
            if (!snapshot.path("boot").asText("").equals(mBoot)) {
                return;
            }
            long nextSequence = snapshot.path("next_sequence").asLong();
            if (nextSequence < mNextSequence) {
                // The snapshot is older than the applied events and would restore removed pieces.
                scheduleSnapshot();
                return;
            }
            mNextSequence = nextSequence;
            mIndex.replaceWithSnapshot(nextSequence - 1, hashes(snapshot));
        } catch (JsonProcessingException e) {
            LogLine.warning("engine_snapshot_damaged").write();
        }
    }

    private static long[] hashes(JsonNode event) {
        JsonNode array = event.path("hashes");
        long[] hashes = new long[array.size()];
        for (int index = 0; index < hashes.length; index++) {
            hashes[index] = array.get(index).asLong();
        }
        return hashes;
    }
}
