package org.ibisstand.command;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Puts the log lines of one request in order and says what happened to it. */
final class RequestStory {
    private static final Pattern VALUE = Pattern.compile("(\\w+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)");
    private static final String NOTHING = "";

    private final List<Map<String, String>> mLines;

    private RequestStory(List<Map<String, String>> lines) {
        mLines = lines;
    }

    /**
     * Collects the lines of a request.
     *
     * @param request its identifier
     * @param log lines of any number of processes
     */
    static RequestStory of(String request, Collection<String> log) {
        List<Map<String, String>> lines = new ArrayList<>();
        for (String line : log) {
            if (line.contains(request)) {
                Map<String, String> values = values(line);
                if (request.equals(values.get("request"))) {
                    lines.add(values);
                }
            }
        }
        lines.sort(Comparator.comparing(line -> line.getOrDefault("time", NOTHING)));
        return new RequestStory(lines);
    }

    /** Returns whether any line speaks of the request. */
    boolean isEmpty() {
        return mLines.isEmpty();
    }

    /** Returns a sentence for each line and a conclusion. */
    List<String> sentences() {
        List<String> sentences = new ArrayList<>();
        for (Map<String, String> line : mLines) {
            sentences.add(
                    line.getOrDefault("time", NOTHING)
                            + " "
                            + line.getOrDefault("process", NOTHING)
                            + ": "
                            + sentence(line));
        }
        sentences.add("conclusion: " + conclusion());
        return sentences;
    }

    private String conclusion() {
        Map<String, String> end =
                mLines.stream()
                        .filter(line -> "request_done".equals(line.get("event")))
                        .reduce((first, second) -> second)
                        .orElse(Map.of());
        if (end.isEmpty()) {
            return "the request has no end in these logs; the process that took it is missing,"
                    + " ended, or the caller left";
        }
        String reason = end.getOrDefault("outcome", NOTHING);
        boolean mayHaveRun = Boolean.parseBoolean(end.get("may_have_run"));
        return switch (end.getOrDefault("status", NOTHING)) {
            case "200" -> "served by " + end.get("server");
            case "0" -> "the stream broke off: " + reason;
            case "429", "503" -> "refused and not run: " + reason;
            case "502", "504" ->
                    mayHaveRun
                            ? "may have run at " + lastServer() + ": " + reason
                            : "given up: " + reason;
            default -> "ended with status " + end.get("status") + ": " + reason;
        };
    }

    private String lastServer() {
        return mLines.stream()
                .filter(line -> "placed".equals(line.get("event")))
                .map(line -> line.getOrDefault("server", NOTHING))
                .reduce((first, second) -> second)
                .orElse("an unknown server");
    }

    private static String sentence(Map<String, String> line) {
        String server = line.getOrDefault("server", NOTHING);
        return switch (line.getOrDefault("event", NOTHING)) {
            case "placed" ->
                    "attempt "
                            + line.get("attempt")
                            + " sent to "
                            + server
                            + " at a predicted cost of "
                            + line.get("cost")
                            + load(line);
            case "not_sent" -> "no connection to " + server + ": " + line.get("reason");
            case "not_run" ->
                    server + " refused with " + line.get("status") + " and did not run it";
            case "attempt_failed" -> server + " may have run it and failed: " + line.get("reason");
            case "failure_repeated" -> server + " answered " + line.get("status") + "; tried again";
            case "not_repeated" -> "not sent to another server: " + line.get("obstacle");
            case "waits_for_configuration" ->
                    "no configuration was known yet; waited up to "
                            + line.get("longest_ms")
                            + " ms";
            case "run_moved" ->
                    server
                            + " stopped the run, which goes on at "
                            + (line.getOrDefault("to", NOTHING).isEmpty()
                                    ? "the same engine"
                                    : line.get("to"));
            case "run_not_moved" ->
                    "the run stayed at "
                            + server
                            + ", as a move was refused: "
                            + line.get("reason");
            case "run_stays" ->
                    "the run stayed at " + server + ": no other engine has its weights and room";
            case "caller_left" -> "the caller left after " + line.get("after_ms") + " ms";
            case "request_done" ->
                    "ended with status "
                            + line.get("status")
                            + " after "
                            + line.get("after_ms")
                            + " ms: "
                            + line.get("outcome");
            default -> line.toString();
        };
    }

    private static String load(Map<String, String> line) {
        return line.containsKey("running")
                ? ", with "
                        + line.get("running")
                        + " running and "
                        + line.get("waiting")
                        + " waiting "
                        + line.get("report_age_ms")
                        + " ms before"
                : NOTHING;
    }

    private static Map<String, String> values(String line) {
        Map<String, String> values = new HashMap<>();
        Matcher matcher = VALUE.matcher(line);
        while (matcher.find()) {
            String value = matcher.group(2);
            boolean isQuoted = value.length() > 1 && value.startsWith("\"");
            values.putIfAbsent(
                    matcher.group(1), isQuoted ? value.substring(1, value.length() - 1) : value);
        }
        return values;
    }
}
