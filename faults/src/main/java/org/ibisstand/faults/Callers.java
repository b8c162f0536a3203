package org.ibisstand.faults;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Response;
import org.ibisstand.fakes.FakeAnswer;

/** Callers that send streams and orders, and send again through the next entry what failed. */
final class Callers {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final Duration TRY_TIMEOUT = Duration.ofSeconds(15);
    private static final long PAUSE_MILLISECONDS = 150;
    private static final int TOKENS = 24;
    private static final int PREFIX_REPETITIONS = 150;
    private static final int UNKNOWN_TRIES = 4;
    private static final int OK = 200;
    private static final String MODEL = "contracts";

    private final AsyncHttpClient mClient;
    private final List<String> mEntries;
    private final String mToken;
    private final Clock mClock;
    private final RunCounts mCounts;
    private final AtomicLong mNext = new AtomicLong();
    private final Queue<OrderFate> mFates = new ConcurrentLinkedQueue<>();

    Callers(
            AsyncHttpClient client,
            List<String> entries,
            String token,
            Clock clock,
            RunCounts counts) {
        mClient = client;
        mEntries = entries;
        mToken = token;
        mClock = clock;
        mCounts = counts;
    }

    Queue<OrderFate> fates() {
        return mFates;
    }

    /** Sends requests one after another until the end. */
    void run(Instant end) {
        while (mClock.instant().isBefore(end)) {
            stream();
            order();
        }
    }

    private void stream() {
        mCounts.add(RunCounts.Kind.STREAMS_TRIED);
        long number = mNext.incrementAndGet();
        String prompt =
                "clause of a long supplier contract, ".repeat(PREFIX_REPETITIONS)
                        + "question "
                        + number;
        String expected = FakeAnswer.text(prompt, MODEL, "1", TOKENS);
        Instant deadline = mClock.instant().plus(PATIENCE);
        for (long attempt = number; mClock.instant().isBefore(deadline); attempt++) {
            Optional<Response> response = send(attempt, "/v1/completions", body(prompt), "");
            StreamCheck.Result result =
                    response.filter(one -> one.getStatusCode() == OK)
                            .map(one -> StreamCheck.check(one.getResponseBody(), expected))
                            .orElse(StreamCheck.Result.VISIBLY_FAILED);
            if (result != StreamCheck.Result.VISIBLY_FAILED) {
                count(result, response);
                return;
            }
            pause();
        }
        mCounts.add(RunCounts.Kind.STREAMS_LOST);
    }

    private void count(StreamCheck.Result result, Optional<Response> response) {
        switch (result) {
            case WHOLE -> mCounts.add(RunCounts.Kind.STREAMS_WHOLE);
            case CUT -> mCounts.add(RunCounts.Kind.STREAMS_CUT);
            default -> mCounts.add(RunCounts.Kind.STREAMS_CROSSED);
        }
        if (result != StreamCheck.Result.WHOLE) {
            System.err.println(result + ": " + response.map(Response::getResponseBody).orElse(""));
        }
    }

    private static String body(String prompt) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", MODEL).put("prompt", prompt).put("max_tokens", TOKENS);
        return body.put("stream", true).toString();
    }

    private void order() {
        mCounts.add(RunCounts.Kind.ORDERS_TRIED);
        long number = mNext.incrementAndGet();
        String key = UUID.randomUUID().toString();
        Instant deadline = mClock.instant().plus(PATIENCE);
        int unknown = 0;
        boolean allRefused = true;
        for (long attempt = number; mClock.instant().isBefore(deadline); attempt++) {
            Optional<Response> response =
                    send(attempt, "/services/orders/purchases", "{\"lot\":" + number + "}", key);
            String verdict =
                    response.map(one -> one.getHeader("ibisstand-verdict")).orElse("may-have-run");
            if (verdict.equals("completed")) {
                finishOrder(key, response.get());
                return;
            }
            boolean refused = verdict.equals("not-run");
            allRefused &= refused;
            unknown += refused ? 0 : 1;
            if (unknown >= UNKNOWN_TRIES) {
                break;
            }
            pause();
        }
        mCounts.add(allRefused ? RunCounts.Kind.ORDERS_REFUSED : RunCounts.Kind.ORDERS_UNKNOWN);
        mFates.add(new OrderFate(key, false, allRefused));
    }

    private void finishOrder(String key, Response response) {
        boolean own = response.getResponseBody().contains(key);
        mCounts.add(own ? RunCounts.Kind.ORDERS_COMPLETED : RunCounts.Kind.ORDERS_CROSSED);
        mFates.add(new OrderFate(key, true, false));
        if (!own) {
            System.err.println("CROSSED " + key + ": " + response);
        }
    }

    /** Sends one try; empty if the connection failed. */
    private Optional<Response> send(long attempt, String path, String body, String key) {
        mCounts.add(RunCounts.Kind.TRIES);
        String entry = mEntries.get((int) (attempt % mEntries.size()));
        BoundRequestBuilder request =
                mClient.preparePost("http://" + entry + path)
                        .setHeader("Authorization", "Bearer " + mToken)
                        .setHeader("Content-Type", "application/json")
                        .setRequestTimeout(TRY_TIMEOUT)
                        .setBody(body);
        if (!key.isEmpty()) {
            request.setHeader("Idempotency-Key", key);
        }
        try {
            return Optional.of(request.execute().toCompletableFuture().join());
        } catch (CompletionException e) {
            mCounts.add(RunCounts.Kind.TRIES_FAILED);
            return Optional.empty();
        }
    }

    private static void pause() {
        CompletableFuture.runAsync(
                        () -> {},
                        CompletableFuture.delayedExecutor(
                                PAUSE_MILLISECONDS, TimeUnit.MILLISECONDS))
                .join();
    }
}
