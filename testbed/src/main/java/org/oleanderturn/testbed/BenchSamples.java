package org.oleanderturn.testbed;

import java.util.List;
import java.util.Objects;

/**
 * What the repeats of one measure gave.
 *
 * <p>Immutable and thread safe.
 *
 * @param median the middle value
 * @param low the lowest value
 * @param high the highest value
 * @param repeats how many values there were
 */
public record BenchSamples(double median, double low, double high, int repeats) {

    /** Returns the summary of at least one value. */
    public static BenchSamples of(List<Double> values) {
        Objects.requireNonNull(values, "values is null");
        if (values.isEmpty()) {
            throw new IllegalArgumentException("values is empty");
        }
        List<Double> sorted = values.stream().sorted().toList();
        int middle = sorted.size() / 2;
        double median = sorted.size() % 2 == 1 ? sorted.get(middle) : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
        return new BenchSamples(median, sorted.getFirst(), sorted.getLast(), sorted.size());
    }

    /** Returns the summary of one value. */
    public static BenchSamples of(double value) {
        return of(List.of(value));
    }

    /** Returns the summary of one count. */
    public static BenchSamples ofCount(long count) {
        return of((double) count);
    }
}
