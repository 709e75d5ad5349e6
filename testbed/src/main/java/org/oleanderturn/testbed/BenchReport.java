package org.oleanderturn.testbed;

import java.util.List;
import java.util.Objects;

/**
 * The result of one run of an experiment. Written as JSON under the component names.
 *
 * <p>Immutable and thread safe.
 *
 * @param experiment the experiment's name
 * @param shows a one-line description of what is measured
 * @param startedAt the start time, in ISO 8601 format
 * @param seconds the duration of the run
 * @param rows the measures, in the order of the experiment
 */
public record BenchReport(String experiment, String shows, String startedAt, double seconds, List<BenchRow> rows) {

    /**
     * Copies the rows.
     *
     * @throws NullPointerException if a component is null
     */
    public BenchReport {
        Objects.requireNonNull(experiment, "experiment is null");
        Objects.requireNonNull(shows, "shows is null");
        Objects.requireNonNull(startedAt, "startedAt is null");
        rows = List.copyOf(rows);
    }

    /** Returns whether at least one row breaks its bound. */
    public boolean isBroken() {
        return rows.stream().anyMatch(row -> row.verdict() == BenchVerdict.BROKEN);
    }
}
