package org.oleanderturn.testbed;

import java.util.List;
import java.util.Locale;

/**
 * Formats a report as a text table.
 *
 * <p>Pure functions. Thread safe.
 */
final class BenchTable {
    private static final String LAYOUT = "%-62s %12s  %-23s %-14s %12s  %-9s %s%n";
    private static final double LARGE = 1_000;
    private static final double SMALL = 1;

    private BenchTable() {}

    static String write(BenchReport report) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT, "%n%s: %s (%.0f s)%n", report.experiment(), report.shows(), report.seconds()));
        text.append(String.format(
                Locale.ROOT,
                LAYOUT,
                "measure",
                "median",
                "low..high (repeats)",
                "bound",
                "baseline",
                "verdict",
                "unit"));
        report.rows().forEach(row -> text.append(line(row)));
        return text.toString();
    }

    private static String line(BenchRow row) {
        BenchSamples samples = row.samples();
        String spread =
                formatNumber(samples.low()) + ".." + formatNumber(samples.high()) + " (" + samples.repeats() + ")";
        String line = String.format(
                Locale.ROOT,
                LAYOUT,
                row.measure(),
                formatNumber(samples.median()),
                spread,
                row.bound().map(BenchTable::formatBound).orElse("none"),
                row.baseline().map(BenchTable::formatNumber).orElse("-"),
                formatVerdict(row.verdict()),
                row.unit());
        return row.note()
                .map(note -> line + "    " + note + System.lineSeparator())
                .orElse(line);
    }

    static String formatBound(BenchBound bound) {
        return switch (bound.kind()) {
            case AT_MOST -> "<= " + formatNumber(bound.limit());
            case AT_LEAST -> ">= " + formatNumber(bound.limit());
        };
    }

    static String formatVerdict(BenchVerdict verdict) {
        return switch (verdict) {
            case MET -> "met";
            case BROKEN -> "BROKEN";
            case NO_BOUND -> "no bound";
        };
    }

    /** Formats a number with no decimals if its magnitude is 1,000 or more, four if it is below 1 but not 0, else two. */
    static String formatNumber(double value) {
        double magnitude = Math.abs(value);
        if (magnitude >= LARGE) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        return magnitude >= SMALL || magnitude == 0
                ? String.format(Locale.ROOT, "%.2f", value)
                : String.format(Locale.ROOT, "%.4f", value);
    }

    /** Returns the names and descriptions of experiments, one per line. */
    static String list(List<BenchExperiment> experiments) {
        StringBuilder text = new StringBuilder();
        experiments.forEach(experiment ->
                text.append(String.format(Locale.ROOT, "%-22s %s%n", experiment.name(), experiment.description())));
        return text.toString();
    }
}
