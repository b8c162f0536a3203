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
 * Follows the engine's numbered cache events and keeps the index by them.
 *
 * <p>A gap, a new boot of the engine, and a new connection each lead to a fresh snapshot. For the
 * control thread only.
 */
final class EngineEvents {
    private static final long RECONNECT_MILLISECONDS = 300;
    private static final long SNAPSHOT_PAUSE_MILLISECONDS = 500;
    private static final Duration ENDLESS = Duration.ofDays(3650);
    private static final Duration SNAPSHOT_TIMEOUT = Duration.ofSeconds(10);

    /** Four times the 95,000 pieces of an engine of the largest fleet, at 21 bytes each. */
    private static final int MAXIMUM_SNAPSHOT_BYTES = 8 << 20;

    private final AsyncHttpClient mClient;
    private final String mUrl;
    private final CacheIndex mIndex;
    private final ScheduledExecutorService mControlThread;
    private final JsonMapper mMapper = JsonMapper.builder().build();
    private String mBoot = "";
    private long mNextSequence;
    private boolean mSnapshotDue;

    EngineEvents(
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
                        line -> mControlThread.execute(() -> line(line)),
                        () ->
                                mControlThread.schedule(
                                        this::start,
                                        RECONNECT_MILLISECONDS,
                                        TimeUnit.MILLISECONDS));
        mClient.prepareGet(mUrl + "?from=" + mNextSequence)
                .setRequestTimeout(ENDLESS)
                .setReadTimeout(ENDLESS)
                .execute(reader);
    }

    private void line(String line) {
        try {
            JsonNode event = mMapper.readTree(line);
            switch (event.path("type").asText("")) {
                case "stored" -> stored(event);
                case "removed" -> removed(event);
                case "cleared" -> cleared(event);
                case "alive" -> alive(event.path("next_sequence").asLong());
                default -> head(event);
            }
        } catch (JsonProcessingException e) {
            LogLine.warning("engine_event_damaged").with("cause", e.getOriginalMessage()).write();
            requestSnapshot();
        }
    }

    private void head(JsonNode head) {
        String boot = head.path("boot").asText("");
        if (!boot.equals(mBoot)) {
            LogLine.info("engine_boot").with("boot", boot).write();
            mBoot = boot;
            mIndex.engineRestarted();
            mNextSequence = 0;
        }
        requestSnapshot();
    }

    private void stored(JsonNode event) {
        mIndex.stored(passed(event), hashes(event));
    }

    private void removed(JsonNode event) {
        mIndex.removed(passed(event), hashes(event));
    }

    private void cleared(JsonNode event) {
        mIndex.cleared(passed(event));
    }

    private long passed(JsonNode event) {
        long sequence = event.path("sequence").asLong();
        if (sequence > mNextSequence) {
            requestSnapshot();
        }
        mNextSequence = Math.max(mNextSequence, sequence + 1);
        return sequence;
    }

    private void alive(long nextSequence) {
        if (nextSequence > mNextSequence) {
            requestSnapshot();
        }
    }

    private void requestSnapshot() {
        if (!mSnapshotDue) {
            mSnapshotDue = true;
            // One snapshot serves all gaps of a moment.
            mControlThread.schedule(
                    this::fetchSnapshot, SNAPSHOT_PAUSE_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }

    private void fetchSnapshot() {
        mSnapshotDue = false;
        mClient.prepareGet(mUrl + "/snapshot")
                .setRequestTimeout(SNAPSHOT_TIMEOUT)
                .execute(new BoundedResponseHandler(MAXIMUM_SNAPSHOT_BYTES))
                .toCompletableFuture()
                .thenAcceptAsync(this::rebuild, mControlThread)
                .exceptionally(EngineEvents::snapshotLost);
    }

    private static Void snapshotLost(Throwable failure) {
        LogLine.warning("engine_snapshot_lost").with("reason", failure.getMessage()).write();
        return null;
    }

    private void rebuild(Response response) {
        try {
            JsonNode snapshot = mMapper.readTree(response.getResponseBody());
            if (!snapshot.path("boot").asText("").equals(mBoot)) {
                return;
            }
            long next = snapshot.path("next_sequence").asLong();
            if (next < mNextSequence) {
                // Events overtook the snapshot; it would bring back what they removed.
                requestSnapshot();
                return;
            }
            mNextSequence = next;
            mIndex.replaceWithSnapshot(next - 1, hashes(snapshot));
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
