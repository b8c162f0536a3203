package org.ibisstand.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoublePredicate;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Runs the measurement and prints its table. */
public final class MeasureCommand {
    private final PrintStream mOutput;

    private MeasureCommand(PrintStream output) {
        mOutput = output;
    }

    /**
     * Runs the measurement.
     *
     * @param arguments see {@code --help}
     */
    public static void main(String[] arguments) {
        new MeasureCommand(System.out).run(parse(arguments));
    }

    private static CommandLine parse(String[] arguments) {
        Options options = new Options();
        options.addOption(null, "load", true, "the load as a multiple of the workload's own");
        options.addOption(null, "seeds", true, "how many seeds to run, from one");
        options.addOption(null, "workload", true, "kernelta or kekhullam; both if not given");
        options.addOption(null, "scenario", true, "steady, crest, slowed, alone, shift, restart");
        options.addOption(null, "contender", true, "part of the names of contenders to run");
        try {
            return new DefaultParser().parse(options, arguments);
        } catch (ParseException e) {
            throw new IbisstandException(ErrorCode.USAGE, e.getMessage(), e);
        }
    }

    private void run(CommandLine line) {
        double load = Double.parseDouble(line.getOptionValue("load", "0.5"));
        int seeds = Integer.parseInt(line.getOptionValue("seeds", "1"));
        for (Workload workload : List.of(Workload.kernelta(), Workload.kekhullam())) {
            if (!workload.name().contains(line.getOptionValue("workload", ""))) {
                continue;
            }
            for (Scenario scenario : Scenario.all()) {
                if (!scenario.name().contains(line.getOptionValue("scenario", ""))) {
                    continue;
                }
                for (Contender contender : Contender.all()) {
                    if (contender.name().contains(line.getOptionValue("contender", ""))) {
                        print(contender, workload, scenario, seeds, load);
                    }
                }
            }
        }
    }

    private void print(
            Contender contender, Workload workload, Scenario scenario, int seeds, double load) {
        List<Outcome> all = new ArrayList<>();
        List<Outcome> shorts = new ArrayList<>();
        List<Outcome> longs = new ArrayList<>();
        List<Outcome> calls = new ArrayList<>();
        long recomputed = 0;
        double recovery = 0;
        DoublePredicate when = scenario.crest() ? Scenario::inCrest : time -> true;
        for (long seed = 1; seed <= seeds; seed++) {
            RunResult result = Run.run(contender, workload, scenario, seed, load);
            all.addAll(result.select(Request.Kind::isModel, time -> true));
            shorts.addAll(result.select(kind -> kind == Request.Kind.SHORT, when));
            longs.addAll(result.select(kind -> kind == Request.Kind.LONG, when));
            calls.addAll(result.select(kind -> !kind.isModel(), when));
            recomputed += result.recomputedPieces();
            for (int crest = 0; crest < Scenario.CRESTS; crest++) {
                double after = Scenario.crestStart(crest) + Scenario.CREST_MILLISECONDS;
                recovery +=
                        Statistics.recovery(
                                result.select(Request.Kind::isModel, time -> true),
                                after,
                                after + 10_000,
                                0.95);
            }
        }
        mOutput.printf(
                Locale.ROOT,
                "%-9s %-7s %-17s hit %.3f waste %5d | short %5d p50 %5.0f p99 %5.0f in %.3f |"
                        + " long n %4d p50 %5.0f p99 %5.0f slow50 %.2f slow99 %.2f in %.3f | call"
                        + " p99 %4.0f in %.3f | recovery %.0f%n",
                workload.name(),
                scenario.name(),
                contender.name(),
                Statistics.hitRate(all),
                recomputed / seeds,
                shorts.size(),
                Statistics.percentile(.5, shorts, Outcome::firstToken),
                Statistics.percentile(.99, shorts, Outcome::firstToken),
                Statistics.inTime(shorts),
                longs.size(),
                Statistics.percentile(.5, longs, Outcome::firstToken),
                Statistics.percentile(.99, longs, Outcome::firstToken),
                Statistics.percentile(.5, longs, Statistics::slowdown),
                Statistics.percentile(.99, longs, Statistics::slowdown),
                Statistics.inTime(longs),
                Statistics.percentile(.99, calls, Outcome::firstToken),
                Statistics.inTime(calls),
                recovery / seeds / Scenario.CRESTS);
    }
}
