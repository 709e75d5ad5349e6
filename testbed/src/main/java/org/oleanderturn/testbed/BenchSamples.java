package org.oleanderturn.testbed;

import java.util.List;
import java.util.Objects;

/**
 * Summary of the repeated measurements of one measure, in the measure's unit. Written as JSON under the component names.
 *
 * <p>Immutable and thread safe.
 *
 * @param median the median; for an even number of values, the mean of the two middle ones
 * @param low the lowest value
 * @param high the highest value
 * @param repeats the number of values
 */
public record BenchSamples(double median, double low, double high, int repeats) {

    /**
     * Returns the summary of the values.
     *
     * @throws IllegalArgumentException if there are no values
     */
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

    /** Returns the summary of a single value. */
    public static BenchSamples of(double value) {
        return of(List.of(value));
    }

    /** Returns the summary of a single count. */
    public static BenchSamples ofCount(long count) {
        return of((double) count);
    }
}
