package org.oleanderturn.testbed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import java.util.Optional;

/**
 * One measure of an experiment.
 *
 * <p>Immutable and thread safe.
 *
 * @param measure what was measured
 * @param unit the unit of every figure in the row
 * @param samples what the repeats gave
 * @param bound the limit, taken from the users' targets
 * @param baseline the same measure of the simplest form, from the same sitting
 * @param note what a reader has to know beside the figures
 */
public record BenchRow(
        String measure,
        String unit,
        BenchSamples samples,
        Optional<BenchBound> bound,
        Optional<Double> baseline,
        Optional<String> note) {

    /** Checks that every part is there. */
    public BenchRow {
        Objects.requireNonNull(measure, "measure is null");
        Objects.requireNonNull(unit, "unit is null");
        Objects.requireNonNull(samples, "samples is null");
        Objects.requireNonNull(bound, "bound is null");
        Objects.requireNonNull(baseline, "baseline is null");
        Objects.requireNonNull(note, "note is null");
    }

    /** Returns a row without a bound or a baseline. */
    public static BenchRow of(String measure, String unit, BenchSamples samples) {
        return new BenchRow(measure, unit, samples, Optional.empty(), Optional.empty(), Optional.empty());
    }

    /** Returns this row with a bound. */
    public BenchRow withBound(BenchBound newBound) {
        return new BenchRow(measure, unit, samples, Optional.of(newBound), baseline, note);
    }

    /** Returns this row with a baseline. */
    public BenchRow withBaseline(double newBaseline) {
        return new BenchRow(measure, unit, samples, bound, Optional.of(newBaseline), note);
    }

    /** Returns this row with a note. */
    public BenchRow withNote(String newNote) {
        return new BenchRow(measure, unit, samples, bound, baseline, Optional.of(newNote));
    }

    /** Returns whether the bound was kept. */
    @JsonProperty
    public BenchVerdict verdict() {
        if (bound.isEmpty()) {
            return BenchVerdict.NO_BOUND;
        }
        return bound.get().isMet(samples) ? BenchVerdict.MET : BenchVerdict.BROKEN;
    }
}
