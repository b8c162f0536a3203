package org.ibisstand.faults;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.ibisstand.base.MonotonicClock;

/**
 * Sends load to a running system while a script kills its processes, and counts what was lost,
 * doubled, cut or crossed. Fails if anything was.
 */
public final class KillRunCommand {
    private static final int CALLERS = 12;
    private static final int USAGE_STATUS = 2;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private KillRunCommand() {}

    /**
     * Runs the command.
     *
     * @param arguments {@code --seconds}, {@code --entries} with commas, {@code --service} and
     *     {@code --token}
     * @throws IOException if the executions of the service cannot be read
     */
    public static void main(String[] arguments) throws IOException {
        Options options = new Options();
        options.addRequiredOption(null, "seconds", true, "how long to send");
        options.addRequiredOption(null, "entries", true, "addresses of the entries");
        options.addRequiredOption(null, "service", true, "address of the service");
        options.addRequiredOption(null, "token", true, "token of a team");
        try {
            boolean clean = run(new DefaultParser().parse(options, arguments));
            System.exit(clean ? 0 : 1);
        } catch (ParseException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(USAGE_STATUS);
        }
    }

    private static boolean run(CommandLine line) throws IOException {
        Clock clock = MonotonicClock.start();
        Instant end =
                clock.instant()
                        .plus(Duration.ofSeconds(Long.parseLong(line.getOptionValue("seconds"))));
        RunCounts counts = new RunCounts();
        List<String> entries = List.of(line.getOptionValue("entries").split(","));
        try (AsyncHttpClient client = Dsl.asyncHttpClient()) {
            Callers callers =
                    new Callers(client, entries, line.getOptionValue("token"), clock, counts);
            try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
                for (int caller = 0; caller < CALLERS; caller++) {
                    threads.execute(() -> callers.run(end));
                }
            }
            judgeOrders(client, line.getOptionValue("service"), callers, counts);
        }
        System.out.println(
                MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(counts.report()));
        return counts.isClean();
    }

    private static void judgeOrders(
            AsyncHttpClient client, String service, Callers callers, RunCounts counts)
            throws IOException {
        String page =
                client.prepareGet("http://" + service + "/executions")
                        .execute()
                        .toCompletableFuture()
                        .join()
                        .getResponseBody();
        JsonNode executions = MAPPER.readTree(page).path("by_key");
        for (OrderFate fate : callers.fates()) {
            int count = executions.path(fate.key()).asInt(0);
            if (count > 1) {
                counts.add(RunCounts.Kind.ORDERS_DOUBLED);
            }
            if (fate.completed() && count == 0) {
                counts.add(RunCounts.Kind.ORDERS_LOST);
            }
            if (fate.refused() && count > 0) {
                counts.add(RunCounts.Kind.ORDERS_REFUSED_FALSELY);
            }
        }
    }
}
