package org.ibisstand.measure;

import java.util.List;
import java.util.Locale;

/** Draws short work's tail at the crest and the hit rate of every contender as an SVG image. */
final class Plot {
    private static final int ROW_PIXELS = 24;
    private static final int LABEL_PIXELS = 150;
    private static final int BAR_PIXELS = 280;
    private static final int WIDTH_PIXELS = 960;
    private static final int TITLE_PIXELS = 56;
    private static final double LEAST_MILLISECONDS = 100;
    private static final double MOST_MILLISECONDS = 30_000;

    private final StringBuilder mImage = new StringBuilder();

    private Plot() {}

    /** Returns the image as text. */
    static String draw(List<Report> reports) {
        Plot plot = new Plot();
        int top = 0;
        for (Report report : reports) {
            top = plot.drawWorkload(report, top);
        }
        return String.format(
                        Locale.ROOT,
                        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                                + " font-family=\"sans-serif\" font-size=\"12\">%n"
                                + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                        WIDTH_PIXELS,
                        top)
                + plot.mImage
                + "</svg>\n";
    }

    private int drawWorkload(Report report, int top) {
        text(8, top + 18, report.workload().name());
        text(LABEL_PIXELS, top + 40, "short work at the crest, 99th percentile, ms (log scale)");
        text(LABEL_PIXELS + BAR_PIXELS + 120, top + 40, "prefix hit rate");
        int row = top + TITLE_PIXELS;
        for (Measurement measurement : report.measurements()) {
            drawRow(measurement, row);
            row += ROW_PIXELS;
        }
        return row + ROW_PIXELS;
    }

    private void drawRow(Measurement measurement, int row) {
        boolean naive = measurement.contender() instanceof Contender.Naive;
        boolean product = measurement.contender() instanceof Contender.Product;
        String color = product ? "#2a7f3f" : naive ? "#b0b0b0" : "#5b8bd0";
        text(8, row + 14, measurement.contender().name());
        double tail = measurement.value(Figure.CREST_SHORT_P99);
        double part =
                Math.log(Math.max(LEAST_MILLISECONDS, tail) / LEAST_MILLISECONDS)
                        / Math.log(MOST_MILLISECONDS / LEAST_MILLISECONDS);
        bar(LABEL_PIXELS, row, part, color, Figure.CREST_SHORT_P99.format(tail));
        double hits = measurement.value(Figure.HIT_RATE);
        int second = LABEL_PIXELS + BAR_PIXELS + 120;
        bar(second, row, hits, color, Figure.HIT_RATE.format(hits));
    }

    private void bar(int left, int row, double part, String color, String label) {
        int width = (int) (BAR_PIXELS * Math.min(1, part));
        mImage.append(
                String.format(
                        Locale.ROOT,
                        "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"%s\"/>%n",
                        left,
                        row,
                        width,
                        ROW_PIXELS - 6,
                        color));
        text(left + width + 6, row + 14, label);
    }

    private void text(int left, int baseline, String text) {
        mImage.append(
                String.format(
                        Locale.ROOT, "<text x=\"%d\" y=\"%d\">%s</text>%n", left, baseline, text));
    }
}
