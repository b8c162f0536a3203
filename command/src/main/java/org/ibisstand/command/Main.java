package org.ibisstand.command;

import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** The executable: one command line, one exit code. */
public final class Main {
    private final PrintStream mOutput;
    private final PrintStream mErrors;
    private final Reader mInput;
    private final Function<String, String> mEnvironment;

    /**
     * Creates an executable for use inside another program.
     *
     * @param output receives results
     * @param errors receives what went wrong
     * @param input where a token is read from
     * @param environment looks up environment variables; null for those that are not set
     */
    public Main(
            PrintStream output,
            PrintStream errors,
            Reader input,
            Function<String, String> environment) {
        mOutput = output;
        mErrors = errors;
        mInput = input;
        mEnvironment = environment;
    }

    /**
     * Runs a command line and ends the process with its exit code.
     *
     * @param arguments the words after the name of the executable
     */
    public static void main(String[] arguments) {
        LogConfiguration.nameProcess("ibisstand");
        Reader input = new InputStreamReader(System.in, StandardCharsets.UTF_8);
        Main main = new Main(System.out, System.err, input, System::getenv);
        System.exit(main.run(arguments).number());
    }

    /**
     * Runs a command line and returns when it is done.
     *
     * @param arguments the words after the name of the executable
     */
    public ExitCode run(String... arguments) {
        try {
            new Executor(mOutput, mInput, mEnvironment).execute(InvocationParser.parse(arguments));
            return ExitCode.OK;
        } catch (IbisstandException e) {
            return report(e.code(), e.getMessage());
        } catch (Exception e) {
            return report(ErrorCode.INTERNAL, e.toString());
        }
    }

    private ExitCode report(ErrorCode code, String message) {
        mErrors.println("error: " + code + ": " + message);
        mErrors.println("action: " + code.action());
        return ExitCode.of(code);
    }
}
