package org.ibisstand.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.measure.quota.QuotaMeasurement;

/** Runs the measurement and prints its tables. */
public final class MeasureCommand {
    private static final String DEFAULT_LOAD = "0.5";
    private static final String DEFAULT_SEEDS = "5";

    private final PrintStream mOutput;
    private final CommandLine mLine;

    private MeasureCommand(PrintStream output, CommandLine line) {
        mOutput = output;
        mLine = line;
    }

    /**
     * Runs the measurement.
     *
     * @param arguments see {@code --help}
     */
    public static void main(String[] arguments) {
        Options options = options();
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            if (line.hasOption("help")) {
                new HelpFormatter().printHelp("measure [quotas]", options);
                return;
            }
            new MeasureCommand(System.out, line).run();
        } catch (ParseException | NumberFormatException e) {
            System.err.println(ErrorCode.USAGE + ": " + e.getMessage());
            System.exit(2);
        }
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(null, "help", false, "print this help");
        options.addOption(null, "json", false, "print JSON in place of tables");
        options.addOption(null, "load", true, "multiple of the workloads' rates, else 0.5");
        options.addOption(null, "seeds", true, "how many seeds to run from one on, else 5");
        options.addOption(null, "workload", true, "kernelta or kekhullam, else both");
        options.addOption(null, "contender", true, "only contenders with this in their names");
        options.addOption(null, "ablation", false, "the product without each mechanism");
        options.addOption(null, "plot", true, "also write an SVG image to this file");
        return options;
    }

    private void run() {
        if (mLine.getArgList().contains("quotas")) {
            QuotaMeasurement.printAll(mOutput, seeds());
            return;
        }
        List<Report> reports = new ArrayList<>();
        for (Workload workload : List.of(Workload.kernelta(), Workload.kekhullam())) {
            if (workload.name().contains(mLine.getOptionValue("workload", ""))) {
                reports.add(report(workload));
            }
        }
        if (mLine.hasOption("json")) {
            printJson(reports);
        } else {
            reports.forEach(report -> report.print(mOutput));
        }
        if (mLine.hasOption("plot")) {
            write(Path.of(mLine.getOptionValue("plot")), Plot.draw(reports));
        }
    }

    private Report report(Workload workload) {
        double load = Double.parseDouble(mLine.getOptionValue("load", DEFAULT_LOAD));
        List<Contender> contenders =
                mLine.hasOption("ablation") ? Contender.ablations() : Contender.all();
        List<Measurement> measurements =
                contenders.stream()
                        .filter(each -> each.name().contains(mLine.getOptionValue("contender", "")))
                        .map(each -> Measurement.of(each, workload, seeds(), load))
                        .toList();
        return new Report(workload, measurements);
    }

    private int seeds() {
        return Integer.parseInt(mLine.getOptionValue("seeds", DEFAULT_SEEDS));
    }

    private void printJson(List<Report> reports) {
        try {
            ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
            mOutput.println(mapper.writeValueAsString(reports.stream().map(Report::data).toList()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void write(Path path, String text) {
        try {
            Files.writeString(path, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
