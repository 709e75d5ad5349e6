package org.oleanderturn.testbed;

import java.util.List;
import java.util.Map;

/**
 * A straight line through measured points, by least squares.
 *
 * <p>Immutable and thread safe.
 *
 * @param intercept the value at zero
 * @param slope what one more adds
 */
record BenchSlope(double intercept, double slope) {

    static BenchSlope of(Map<Integer, Double> points) {
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
        return new BenchSlope(meanY - slope * meanX, slope);
    }

    double at(int size) {
        return intercept + slope * size;
    }
}
