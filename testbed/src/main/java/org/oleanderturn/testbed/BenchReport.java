package org.oleanderturn.testbed;

import java.util.List;
import java.util.Objects;

/**
 * What one run of an experiment gave.
 *
 * <p>Immutable and thread safe.
 *
 * @param experiment the experiment's name
 * @param shows what it shows
 * @param startedAt when it started, as ISO 8601
 * @param seconds how long it took
 * @param rows what was measured
 */
public record BenchReport(String experiment, String shows, String startedAt, double seconds, List<BenchRow> rows) {

    /** Copies the rows. */
    public BenchReport {
        Objects.requireNonNull(experiment, "experiment is null");
        Objects.requireNonNull(shows, "shows is null");
        Objects.requireNonNull(startedAt, "startedAt is null");
        rows = List.copyOf(rows);
    }

    /** Returns whether any bound was broken. */
    public boolean isBroken() {
        return rows.stream().anyMatch(row -> row.verdict() == BenchVerdict.BROKEN);
    }
}
