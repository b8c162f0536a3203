package org.ibisstand.command;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.settings.Address;

/** Turns command lines into invocations. */
final class InvocationParser {
    private static final String SETTINGS = "settings";
    private static final String CONTROL = "control";
    private static final String ADDRESS = "address";
    private static final String TOKEN_FILE = "token-file";
    private static final String EXPECTED_REVISION = "expected-revision";
    private static final String CHANGE = "change";

    private InvocationParser() {}

    /**
     * Parses a command line.
     *
     * @throws IbisstandException with USAGE if it asks for nothing that exists
     */
    static Invocation parse(String... arguments) {
        String command = arguments.length == 0 ? "help" : arguments[0];
        String[] rest =
                Arrays.copyOfRange(arguments, Math.min(1, arguments.length), arguments.length);
        return switch (command) {
            case "entry", "agent", "control" -> parseDaemon(SettingsKind.parse(command), rest);
            case "fake-engine" -> FakeInvocations.parseEngine(rest);
            case "fake-service" -> FakeInvocations.parseService(rest);
            case "check-settings" -> parseCheck(rest);
            case "explain" -> parseExplain(rest);
            case "configuration" -> parseConfiguration(rest);
            case "state" -> parseState(rest);
            case "member" -> parseMember(rest);
            case "token" -> parseToken(rest);
            case "help", "--help", "-h" -> new Invocation.Help();
            case "version", "--version" -> new Invocation.Version();
            default -> throw usage("unknown command '" + command + "'");
        };
    }

    private static Invocation parseDaemon(SettingsKind kind, String[] rest) {
        CommandLine line = parse(new Options().addOption(required(SETTINGS)), rest);
        requireArguments(line, 0);
        return new Invocation.RunDaemon(kind, Path.of(line.getOptionValue(SETTINGS)));
    }

    private static Invocation parseCheck(String[] rest) {
        CommandLine line = parse(new Options(), rest);
        List<String> words = requireArguments(line, 2);
        return new Invocation.CheckSettings(
                SettingsKind.parse(words.get(0)), Path.of(words.get(1)));
    }

    private static Invocation parseExplain(String[] rest) {
        List<String> words = parse(new Options(), rest).getArgList();
        if (words.size() < 2) {
            throw usage("expected the identifier of a request and at least one log file");
        }
        List<Path> files = words.subList(1, words.size()).stream().map(Path::of).toList();
        return new Invocation.Explain(words.getFirst(), files);
    }

    private static Invocation parseConfiguration(String[] rest) {
        Options options =
                controlOptions().addOption(optional(EXPECTED_REVISION)).addOption(optional(CHANGE));
        CommandLine line = parse(options, rest);
        Invocation.Access access = access(line, CONTROL);
        return switch (action(line)) {
            case "apply" -> parseApply(line, access);
            case "show" -> ask(line, access, Invocation.Question.CONFIGURATION);
            case "status" -> ask(line, access, Invocation.Question.CONFIGURATION_STATUS);
            default -> throw usage("allowed are: configuration apply, show, status");
        };
    }

    private static Invocation parseApply(CommandLine line, Invocation.Access access) {
        String file = requireArguments(line, 2).get(1);
        Optional<Long> revision =
                Optional.ofNullable(line.getOptionValue(EXPECTED_REVISION))
                        .map(InvocationParser::parseNumber);
        Optional<String> change = Optional.ofNullable(line.getOptionValue(CHANGE));
        return new Invocation.ApplyConfiguration(access, Path.of(file), revision, change);
    }

    private static Invocation parseState(String[] rest) {
        Options options =
                new Options().addOption(required(ADDRESS)).addOption(optional(TOKEN_FILE));
        CommandLine line = parse(options, rest);
        requireArguments(line, 0);
        return new Invocation.Ask(access(line, ADDRESS), Invocation.Question.STATE);
    }

    private static Invocation parseMember(String[] rest) {
        CommandLine line = parse(controlOptions(), rest);
        Invocation.Access access = access(line, CONTROL);
        return switch (action(line)) {
            case "add" -> {
                List<String> words = requireArguments(line, 3);
                Address address = parseAddress(words.get(2));
                yield new Invocation.AddMember(access, words.get(1), address);
            }
            case "remove" -> new Invocation.RemoveMember(access, requireArguments(line, 2).get(1));
            case "status" -> ask(line, access, Invocation.Question.MEMBERS);
            default -> throw usage("allowed are: member add, remove, status");
        };
    }

    private static Invocation parseToken(String[] rest) {
        CommandLine line = parse(new Options(), rest);
        if (!action(line).equals("hash")) {
            throw usage("allowed is: token hash");
        }
        requireArguments(line, 1);
        return new Invocation.HashToken();
    }

    private static Invocation ask(
            CommandLine line, Invocation.Access access, Invocation.Question question) {
        requireArguments(line, 1);
        return new Invocation.Ask(access, question);
    }

    private static Options controlOptions() {
        return new Options().addOption(required(CONTROL)).addOption(optional(TOKEN_FILE));
    }

    private static Invocation.Access access(CommandLine line, String option) {
        List<Address> addresses =
                Arrays.stream(line.getOptionValue(option).split(","))
                        .map(InvocationParser::parseAddress)
                        .toList();
        Optional<Path> tokenFile =
                Optional.ofNullable(line.getOptionValue(TOKEN_FILE)).map(Path::of);
        return new Invocation.Access(addresses, tokenFile);
    }

    private static String action(CommandLine line) {
        List<String> words = line.getArgList();
        return words.isEmpty() ? "" : words.getFirst();
    }

    private static List<String> requireArguments(CommandLine line, int count) {
        List<String> words = line.getArgList();
        if (words.size() != count) {
            throw usage("expected " + count + " words besides options, got " + words);
        }
        return words;
    }

    static CommandLine parse(Options options, String[] arguments) {
        try {
            return new DefaultParser().parse(options, arguments);
        } catch (ParseException e) {
            throw usage(e.getMessage());
        }
    }

    static Option required(String name) {
        return Option.builder().longOpt(name).hasArg().required().get();
    }

    static Option optional(String name) {
        return Option.builder().longOpt(name).hasArg().get();
    }

    static long parseNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw usage("'" + text + "' is not a whole number");
        }
    }

    static IbisstandException usage(String message) {
        return new IbisstandException(ErrorCode.USAGE, message);
    }

    private static Address parseAddress(String text) {
        try {
            return Address.parse(text);
        } catch (IbisstandException e) {
            throw usage(e.getMessage());
        }
    }
}
