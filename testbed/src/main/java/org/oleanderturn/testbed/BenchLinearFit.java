package org.oleanderturn.testbed;

import java.util.List;
import java.util.Map;

/**
 * A straight line fitted to measured points by least squares.
 *
 * <p>Immutable and thread safe.
 *
 * @param intercept the value at size 0
 * @param slope the increase per unit of size
 */
record BenchLinearFit(double intercept, double slope) {

    /** Fits a line to values by size; the slope is 0 when all points have the same size. */
    static BenchLinearFit of(Map<Integer, Double> points) {
        List<Map.Entry<Integer, Double>> entries = List.copyOf(points.entrySet());
        double meanX = entries.stream().mapToDouble(Map.Entry::getKey).average().orElse(0);
        double meanY =
                entries.stream().mapToDouble(Map.Entry::getValue).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (Map.Entry<Integer, Double> entry : entries) {
            covariance += (entry.getKey() - meanX) * (entry.getValue() - meanY);
            variance += (entry.getKey() - meanX) * (entry.getKey() - meanX);
        }
        double slope = variance == 0 ? 0 : covariance / variance;
        return new BenchLinearFit(meanY - slope * meanX, slope);
    }

    /** Returns the value at the given size. A negative slope counts as 0, so that it never lowers an extrapolated value. */
    double valueAt(int size) {
        return intercept + Math.max(0, slope) * size;
    }
}
