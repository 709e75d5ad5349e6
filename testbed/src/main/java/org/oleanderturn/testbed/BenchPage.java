package org.oleanderturn.testbed;

import java.util.Locale;

/**
 * Formats a report as an HTML page with a table and, for each row, bars for median, bound and baseline.
 *
 * <p>Pure functions. Thread safe.
 */
final class BenchPage {
    private static final int BAR_WIDTH_PIXELS = 360;
    private static final int BAR_HEIGHT_PIXELS = 14;

    private BenchPage() {}

    static String write(BenchReport report) {
        StringBuilder page = new StringBuilder();
        page.append("<!doctype html><html><head><meta charset=\"utf-8\"><title>")
                .append(escape(report.experiment()))
                .append("</title><style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:left}</style>")
                .append("</head><body><h1>")
                .append(escape(report.experiment()))
                .append("</h1><p>")
                .append(escape(report.shows()))
                .append(". Started ")
                .append(escape(report.startedAt()))
                .append(".</p><table><tr><th>measure</th><th>median</th><th>low..high</th><th>bound</th>")
                .append("<th>baseline</th><th>verdict</th><th>bars: median, bound, baseline</th></tr>\n");
        report.rows().forEach(row -> page.append(line(row)));
        return page.append("</table></body></html>\n").toString();
    }

    private static String line(BenchRow row) {
        BenchSamples samples = row.samples();
        return "<tr><td>" + escape(row.measure())
                + row.note().map(BenchPage::note).orElse("") + "</td><td>"
                + BenchTable.formatNumber(samples.median()) + " " + escape(row.unit()) + "</td><td>"
                + BenchTable.formatNumber(samples.low()) + ".." + BenchTable.formatNumber(samples.high()) + "</td><td>"
                + row.bound()
                        .map(BenchTable::formatBound)
                        .map(BenchPage::escape)
                        .orElse("none") + "</td><td>"
                + row.baseline().map(BenchTable::formatNumber).orElse("-") + "</td><td>"
                + BenchTable.formatVerdict(row.verdict()) + "</td><td>" + bars(row) + "</td></tr>\n";
    }

    private static String bars(BenchRow row) {
        double bound = row.bound().map(BenchBound::limit).orElse(0.0);
        double baseline = row.baseline().orElse(0.0);
        double largest = Math.max(row.samples().high(), Math.max(bound, baseline));
        if (largest <= 0) {
            return "";
        }
        return String.format(
                Locale.ROOT,
                "<svg width=\"%d\" height=\"%d\">%s%s%s</svg>",
                BAR_WIDTH_PIXELS,
                3 * BAR_HEIGHT_PIXELS,
                bar(0, row.samples().median() / largest, "#27647b"),
                bar(1, bound / largest, "#b5443c"),
                bar(2, baseline / largest, "#9a9a9a"));
    }

    private static String bar(int line, double fraction, String colour) {
        return String.format(
                Locale.ROOT,
                "<rect x=\"0\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>",
                line * BAR_HEIGHT_PIXELS,
                Math.max(0, fraction) * BAR_WIDTH_PIXELS,
                BAR_HEIGHT_PIXELS - 2,
                colour);
    }

    private static String note(String text) {
        return "<br><small>" + escape(text) + "</small>";
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
