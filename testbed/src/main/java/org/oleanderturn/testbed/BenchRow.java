package org.oleanderturn.testbed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import java.util.Optional;

/**
 * One measure of an experiment, with its samples. Written as JSON under the component names, with the verdict.
 *
 * <p>Immutable and thread safe.
 *
 * @param measure the name of the measure; stored results are compared by it
 * @param unit the unit of the samples, the bound and the baseline
 * @param samples the summary of the repeated measurements
 * @param bound the limit, taken from the users' performance targets; empty if there is none
 * @param baseline the same measure for the simplest design, from the same session; empty if there is none
 * @param note what a reader needs to know to interpret the figures; empty if nothing
 */
public record BenchRow(
        String measure,
        String unit,
        BenchSamples samples,
        Optional<BenchBound> bound,
        Optional<Double> baseline,
        Optional<String> note) {

    /**
     * Rejects null components.
     *
     * @throws NullPointerException if a component is null
     */
    public BenchRow {
        Objects.requireNonNull(measure, "measure is null");
        Objects.requireNonNull(unit, "unit is null");
        Objects.requireNonNull(samples, "samples is null");
        Objects.requireNonNull(bound, "bound is null");
        Objects.requireNonNull(baseline, "baseline is null");
        Objects.requireNonNull(note, "note is null");
    }

    /** Returns a row without a bound, a baseline or a note. */
    public static BenchRow of(String measure, String unit, BenchSamples samples) {
        return new BenchRow(measure, unit, samples, Optional.empty(), Optional.empty(), Optional.empty());
    }

    /** Returns a copy of this row with the given bound. */
    public BenchRow withBound(BenchBound newBound) {
        return new BenchRow(measure, unit, samples, Optional.of(newBound), baseline, note);
    }

    /** Returns a copy of this row with the given baseline, in the row's unit. */
    public BenchRow withBaseline(double newBaseline) {
        return new BenchRow(measure, unit, samples, bound, Optional.of(newBaseline), note);
    }

    /** Returns a copy of this row with the given note. */
    public BenchRow withNote(String newNote) {
        return new BenchRow(measure, unit, samples, bound, baseline, Optional.of(newNote));
    }

    /** Returns whether the samples meet the bound. */
    @JsonProperty
    public BenchVerdict verdict() {
        if (bound.isEmpty()) {
            return BenchVerdict.NO_BOUND;
        }
        return bound.get().isMet(samples) ? BenchVerdict.MET : BenchVerdict.BROKEN;
    }
}
