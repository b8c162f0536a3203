package org.ibisstand.command;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.ibisstand.fakes.FakeEngineOptions;

/** Parses the command lines of the stand-ins. */
final class FakeInvocations {
    private static final String HOST = "host";
    private static final String PORT = "port";
    private static final String MODEL = "model";
    private static final String PIECE_BYTES = "piece-bytes";
    private static final String CACHE_PIECES = "cache-pieces";
    private static final String SLOTS = "slots";
    private static final String PREFILL = "prefill-bytes-per-millisecond";
    private static final String TOKEN_MILLISECONDS = "token-milliseconds";
    private static final String LOAD_MILLISECONDS = "load-milliseconds";
    private static final String IGNORE_FENCING = "ignore-fencing";
    private static final String LOOPBACK = "127.0.0.1";

    private FakeInvocations() {}

    static Invocation parseEngine(String[] arguments) {
        Options options =
                addressOptions()
                        .addOption(InvocationParser.required(MODEL))
                        .addOption(InvocationParser.optional(PIECE_BYTES))
                        .addOption(InvocationParser.optional(CACHE_PIECES))
                        .addOption(InvocationParser.optional(SLOTS))
                        .addOption(InvocationParser.optional(PREFILL))
                        .addOption(InvocationParser.optional(TOKEN_MILLISECONDS))
                        .addOption(InvocationParser.optional(LOAD_MILLISECONDS))
                        .addOption(Option.builder().longOpt(IGNORE_FENCING).get());
        CommandLine line = InvocationParser.parse(options, arguments);
        FakeEngineOptions start = models(line.getOptionValues(MODEL));
        return new Invocation.RunFakeEngine(
                start.withAddress(host(line), port(line))
                        .withCache(
                                (int) number(line, PIECE_BYTES, start.pieceBytes()),
                                (int) number(line, CACHE_PIECES, start.cachePieces()))
                        .withSpeed(
                                (int) number(line, SLOTS, start.slots()),
                                number(line, PREFILL, start.prefillBytesPerMillisecond()),
                                number(line, TOKEN_MILLISECONDS, start.tokenMilliseconds()),
                                (long) number(line, LOAD_MILLISECONDS, start.loadMilliseconds()))
                        .withFencing(!line.hasOption(IGNORE_FENCING)));
    }

    static Invocation parseService(String[] arguments) {
        CommandLine line = InvocationParser.parse(addressOptions(), arguments);
        return new Invocation.RunFakeService(host(line), port(line));
    }

    private static Options addressOptions() {
        return new Options()
                .addOption(InvocationParser.optional(HOST))
                .addOption(InvocationParser.required(PORT));
    }

    private static FakeEngineOptions models(String[] values) {
        FakeEngineOptions options = FakeEngineOptions.serving(name(values[0]), version(values[0]));
        for (String value : values) {
            options = options.withModel(name(value), version(value));
        }
        return options;
    }

    private static String name(String value) {
        int equals = value.indexOf('=');
        if (equals < 1) {
            throw InvocationParser.usage("--model needs name=weights-version");
        }
        return value.substring(0, equals);
    }

    private static String version(String value) {
        return value.substring(value.indexOf('=') + 1);
    }

    private static String host(CommandLine line) {
        return line.getOptionValue(HOST, LOOPBACK);
    }

    private static int port(CommandLine line) {
        return (int) InvocationParser.parseNumber(line.getOptionValue(PORT));
    }

    private static double number(CommandLine line, String option, double otherwise) {
        if (!line.hasOption(option)) {
            return otherwise;
        }
        try {
            return Double.parseDouble(line.getOptionValue(option));
        } catch (NumberFormatException e) {
            throw InvocationParser.usage("--" + option + " needs a number");
        }
    }
}
