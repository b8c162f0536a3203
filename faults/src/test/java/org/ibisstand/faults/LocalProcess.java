package org.ibisstand.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One process of a small system, which tests kill, freeze and start again. */
final class LocalProcess {
    private final String mName;
    private final List<String> mArguments;
    private final Path mFolder;
    private Process mProcess;

    LocalProcess(String name, List<String> arguments, Path folder) {
        mName = name;
        mArguments = arguments;
        mFolder = folder;
    }

    void start() {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.add("org.ibisstand.command.Main");
        command.addAll(mArguments);
        try {
            mProcess =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            mFolder.resolve(mName + ".log").toFile()))
                            .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void kill() {
        mProcess.destroyForcibly().onExit().join();
    }

    void restart() {
        kill();
        start();
    }

    /** Asks the process to stop, and returns its status once it has. */
    int stop() {
        signal("TERM");
        return mProcess.onExit().join().exitValue();
    }

    void freeze() {
        signal("STOP");
    }

    void thaw() {
        signal("CONT");
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(mProcess.pid()))
                    .start()
                    .onExit()
                    .join();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
