package org.ibisstand.administration;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;

/** Writes metrics as text, one name and value a line, for scrapers. */
public final class MetricsText {
    private MetricsText() {}

    /**
     * Returns all counters, numeric gauges and histograms of a registry, in order of their names.
     */
    public static String of(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        registry.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
        registry.getGauges()
                .forEach(
                        (name, gauge) -> {
                            if (gauge.getValue() instanceof Number number) {
                                line(text, name, number.doubleValue());
                            }
                        });
        registry.getHistograms()
                .forEach(
                        (name, histogram) -> {
                            Snapshot snapshot = histogram.getSnapshot();
                            line(text, name + ".count", histogram.getCount());
                            line(text, name + ".median", snapshot.getMedian());
                            line(text, name + ".p99", snapshot.get99thPercentile());
                            line(text, name + ".maximum", snapshot.getMax());
                        });
        return text.toString();
    }

    private static void line(StringBuilder text, String name, double value) {
        String number =
                value == Math.rint(value)
                        ? Long.toString((long) value)
                        : String.format(Locale.ROOT, "%.3f", value);
        text.append(name.replace('.', '_')).append(' ').append(number).append('\n');
    }
}
