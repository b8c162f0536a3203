package org.ibisstand.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.ibisstand.fakes.FakeEngineOptions;
import org.ibisstand.settings.Address;

/** What one command line asks for. */
sealed interface Invocation {
    /** Runs a daemon until a signal stops it. */
    record RunDaemon(SettingsKind kind, Path settings) implements Invocation {}

    /** Runs a stand-in for a model engine until a signal stops it. */
    record RunFakeEngine(FakeEngineOptions options) implements Invocation {}

    /** Runs a stand-in for a plain service until a signal stops it. */
    record RunFakeService(String host, int port) implements Invocation {}

    /** Checks a settings or configuration file. */
    record CheckSettings(SettingsKind kind, Path file) implements Invocation {}

    /** Says from logs what happened to a request. */
    record Explain(String request, List<Path> files) implements Invocation {}

    /** Puts a configuration in force. */
    record ApplyConfiguration(
            Access control, Path file, Optional<Long> expectedRevision, Optional<String> change)
            implements Invocation {}

    /** Asks a process or control and prints its answer. */
    record Ask(Access access, Question question) implements Invocation {}

    /** Adds a member to control. */
    record AddMember(Access control, String name, Address address) implements Invocation {}

    /** Removes a member from control. */
    record RemoveMember(Access control, String name) implements Invocation {}

    /** Prints the digest of a token that is read from standard input. */
    record HashToken() implements Invocation {}

    /** Prints what the command can do. */
    record Help() implements Invocation {}

    /** Prints the version. */
    record Version() implements Invocation {}

    /** What can be asked without changing anything. */
    enum Question {
        STATE,
        CONFIGURATION,
        CONFIGURATION_STATUS,
        MEMBERS
    }

    /**
     * How to reach administration ports.
     *
     * @param addresses the ports of one process or of all control members
     * @param tokenFile the file with the operators' token, if it is not in the environment
     */
    record Access(List<Address> addresses, Optional<Path> tokenFile) {}
}
