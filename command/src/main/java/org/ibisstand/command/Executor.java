package org.ibisstand.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.Function;
import org.ibisstand.base.DaemonProcess;
import org.ibisstand.base.Digests;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.operator.AdministrationClient;
import org.ibisstand.settings.ConfigurationReader;
import org.ibisstand.settings.SettingsReader;

/** Carries out invocations. */
final class Executor {
    private static final String TOKEN_VARIABLE = "IBISSTAND_OPERATOR_TOKEN";

    private final PrintStream mOutput;
    private final Reader mInput;
    private final Function<String, String> mEnvironment;

    /**
     * Creates an executor.
     *
     * @param output where results are printed
     * @param input where a token is read from
     * @param environment looks up environment variables; null for those that are not set
     */
    Executor(PrintStream output, Reader input, Function<String, String> environment) {
        mOutput = output;
        mInput = input;
        mEnvironment = environment;
    }

    /**
     * Carries out an invocation and returns when it is done.
     *
     * @throws IbisstandException if it fails
     */
    void execute(Invocation invocation) throws Exception {
        switch (invocation) {
            case Invocation.RunDaemon run ->
                    DaemonProcess.run(Daemons.start(run.kind(), run.settings()));
            case Invocation.RunFakeEngine run ->
                    DaemonProcess.run(Daemons.startFakeEngine(run.options()));
            case Invocation.RunFakeService run ->
                    DaemonProcess.run(Daemons.startFakeService(run.host(), run.port()));
            case Invocation.CheckSettings check -> check(check);
            case Invocation.Explain explain -> explain(explain);
            case Invocation.ApplyConfiguration apply -> apply(apply);
            case Invocation.Ask ask ->
                    withClient(ask.access(), client -> answer(client, ask.question()));
            case Invocation.AddMember add ->
                    withClient(
                            add.control(), client -> client.addMember(add.name(), add.address()));
            case Invocation.RemoveMember remove ->
                    withClient(remove.control(), client -> client.removeMember(remove.name()));
            case Invocation.HashToken hash -> mOutput.println(Digests.hexadecimal(readToken()));
            case Invocation.Help help -> mOutput.print(HelpText.TEXT);
            case Invocation.Version version -> mOutput.println(HelpText.version());
        }
    }

    private void check(Invocation.CheckSettings check) {
        byte[] json = SettingsReader.readFile(check.file());
        SettingsReader reader = SettingsReader.create();
        switch (check.kind()) {
            case ENTRY -> reader.readEntry(json);
            case AGENT -> reader.readAgent(json);
            case CONTROL -> reader.readControl(json);
            case CONFIGURATION -> ConfigurationReader.create().read(json);
        }
        mOutput.println("ok");
    }

    private void explain(Invocation.Explain explain) throws IOException {
        List<String> log = new ArrayList<>();
        for (Path file : explain.files()) {
            if (!Files.isReadable(file)) {
                throw new IbisstandException(ErrorCode.USAGE, "cannot read the file " + file);
            }
            log.addAll(Files.readAllLines(file));
        }
        RequestStory story = RequestStory.of(explain.request(), log);
        if (story.isEmpty()) {
            throw new IbisstandException(
                    ErrorCode.NOT_FOUND, "no line names the request " + explain.request());
        }
        story.sentences().forEach(mOutput::println);
    }

    private void apply(Invocation.ApplyConfiguration apply) throws IOException {
        byte[] json = SettingsReader.readFile(apply.file());
        ConfigurationReader.create().read(json);
        String change = apply.change().orElseGet(() -> UUID.randomUUID().toString());
        withClient(
                apply.control(),
                client -> {
                    long revision =
                            apply.expectedRevision()
                                    .orElseGet(
                                            () -> client.configuration().path("revision").asLong());
                    return client.applyConfiguration(json, revision, change);
                });
    }

    private void withClient(Invocation.Access access, Function<AdministrationClient, JsonNode> work)
            throws IOException {
        try (AdministrationClient client =
                AdministrationClient.create(access.addresses(), operatorToken(access))) {
            JsonMapper mapper = JsonMapper.builder().build();
            JsonNode answer = work.apply(client);
            mOutput.println(mapper.writerWithDefaultPrettyPrinter().writeValueAsString(answer));
        }
    }

    private static JsonNode answer(AdministrationClient client, Invocation.Question question) {
        return switch (question) {
            case STATE -> client.state();
            case CONFIGURATION -> client.configuration();
            case CONFIGURATION_STATUS -> client.configurationStatus();
            case MEMBERS -> client.members();
        };
    }

    private String operatorToken(Invocation.Access access) throws IOException {
        if (access.tokenFile().isPresent()) {
            Path file = access.tokenFile().get();
            if (!Files.isReadable(file)) {
                throw new IbisstandException(ErrorCode.USAGE, "cannot read the file " + file);
            }
            return Files.readString(file).strip();
        }
        String token = mEnvironment.apply(TOKEN_VARIABLE);
        if (token == null) {
            throw new IbisstandException(
                    ErrorCode.USAGE, "needed is --token-file or the variable " + TOKEN_VARIABLE);
        }
        return token;
    }

    private String readToken() throws IOException {
        String line = new BufferedReader(mInput).readLine();
        if (line == null || line.isBlank()) {
            throw new IbisstandException(ErrorCode.USAGE, "needed is a token on standard input");
        }
        return line.strip();
    }
}
