package org.ibisstand.faults;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.ibisstand.settings.JsonReader;

/** Prints the fault matrix; fails if a cell has failed or was not run. */
public final class MatrixCommand {
    private static final int USAGE_STATUS = 2;

    private MatrixCommand() {}

    /** What the JSON form holds for each cell. */
    private record CellReport(
            Promise promise,
            Fault fault,
            Step step,
            Status status,
            List<String> tests,
            List<String> reasons) {}

    /** The whole JSON form. */
    private record MatrixReport(int total, Map<String, Integer> counts, List<CellReport> cells) {}

    /**
     * Runs the command.
     *
     * @param arguments the root folder of the workspace, and perhaps {@code --json}
     */
    public static void main(String[] arguments) {
        Options options = new Options();
        options.addOption(null, "json", false, "print every cell as JSON");
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            Path root = Path.of(line.getArgList().getFirst());
            FaultMatrix matrix = FaultMatrix.judge(MatrixTable.load(), TestResults.read(root));
            print(matrix, line.hasOption("json"));
            System.exit(isSound(matrix) ? 0 : 1);
        } catch (ParseException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(USAGE_STATUS);
        }
    }

    private static boolean isSound(FaultMatrix matrix) {
        Map<Status, Integer> counts = matrix.counts();
        return counts.get(Status.FAILED) + counts.get(Status.NOT_RUN) == 0;
    }

    private static void print(FaultMatrix matrix, boolean json) {
        if (json) {
            System.out.println(
                    new String(JsonReader.create().write(report(matrix)), StandardCharsets.UTF_8));
        } else {
            printText(matrix, System.out);
        }
    }

    private static MatrixReport report(FaultMatrix matrix) {
        List<CellReport> cells =
                matrix.statuses().entrySet().stream()
                        .map(entry -> report(matrix, entry.getKey(), entry.getValue()))
                        .toList();
        Map<String, Integer> counts = new TreeMap<>();
        matrix.counts().forEach((status, count) -> counts.put(status.name(), count));
        return new MatrixReport(cells.size(), counts, cells);
    }

    private static CellReport report(FaultMatrix matrix, Cell cell, Status status) {
        return new CellReport(
                cell.promise(),
                cell.fault(),
                cell.step(),
                status,
                matrix.table().testsOf(cell),
                status == Status.CANNOT_ARISE ? matrix.table().reasonsAgainst(cell) : List.of());
    }

    private static void printText(FaultMatrix matrix, PrintStream out) {
        for (Promise promise : Promise.values()) {
            out.println(promise + ": " + promise.text());
            for (Fault fault : Fault.values()) {
                StringBuilder line = new StringBuilder(String.format("  %-26s", fault));
                for (Step step : promise.steps()) {
                    Status status = matrix.statuses().get(new Cell(promise, fault, step));
                    line.append(' ').append(step).append('=').append(status);
                }
                out.println(line);
            }
        }
        out.println();
        matrix.counts().forEach((status, count) -> out.println(status + " " + count));
        out.println("cells " + matrix.statuses().size());
    }
}
