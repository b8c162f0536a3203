package org.ibisstand.measure;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import org.HdrHistogram.Histogram;
import org.ibisstand.base.MonotonicClock;

/** Compares calls through an entry with direct ones to the same server, turn by turn in one run. */
public final class RouterOverhead {
    private static final int WARM_UP_CALLS = 2_000;
    private static final int CALLS = 5_000;
    private static final long HIGHEST_MICROSECONDS = 60_000_000;
    private static final int DIGITS = 3;
    private static final int HTTP_OK = 200;

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final MonotonicClock mClock = MonotonicClock.start();

    private RouterOverhead() {}

    /**
     * Runs the comparison and prints medians, 99th percentiles and their ratios.
     *
     * @param arguments the port of a plain service, the port of an entry, and a team's token
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        HttpRequest direct = request(arguments[0], "/stock/1", "");
        HttpRequest routed = request(arguments[1], "/services/orders/stock/1", arguments[2]);
        new RouterOverhead().run(direct, routed);
    }

    private void run(HttpRequest direct, HttpRequest routed)
            throws IOException, InterruptedException {
        Histogram directTimes = new Histogram(HIGHEST_MICROSECONDS, DIGITS);
        Histogram routedTimes = new Histogram(HIGHEST_MICROSECONDS, DIGITS);
        for (int call = 0; call < WARM_UP_CALLS + CALLS; call++) {
            long directTime = time(direct);
            long routedTime = time(routed);
            if (call >= WARM_UP_CALLS) {
                directTimes.recordValue(directTime);
                routedTimes.recordValue(routedTime);
            }
        }
        print("median", 50, directTimes, routedTimes);
        print("99th percentile", 99, directTimes, routedTimes);
    }

    private long time(HttpRequest request) throws IOException, InterruptedException {
        Instant begin = mClock.instant();
        HttpResponse<byte[]> response =
                mClient.send(request, HttpResponse.BodyHandlers.ofByteArray());
        if (response.statusCode() != HTTP_OK) {
            throw new IllegalStateException("status " + response.statusCode());
        }
        return Duration.between(begin, mClock.instant()).toNanos() / 1_000;
    }

    private static void print(
            String name, double percentile, Histogram directTimes, Histogram routedTimes) {
        long direct = directTimes.getValueAtPercentile(percentile);
        long routed = routedTimes.getValueAtPercentile(percentile);
        System.out.printf(
                "%s: direct %d us, through entry and agent %d us, ratio %.2f%n",
                name, direct, routed, (double) routed / direct);
    }

    private static HttpRequest request(String port, String path, String token) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .version(HttpClient.Version.HTTP_1_1)
                .header("Authorization", "Bearer " + token)
                .build();
    }
}
