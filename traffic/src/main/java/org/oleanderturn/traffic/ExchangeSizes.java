package org.oleanderturn.traffic;

import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RouteName;

/**
 * Moving averages of the bytes that a request and its response take together, by route.
 *
 * <p>Invariant: about the last ten exchanges determine an average. Thread safe.
 */
public final class ExchangeSizes {
    /** Weight of the newest exchange in the average; sizes on one route vary by a small factor, and their mean rarely changes. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Assumed bytes of the headers of a request and its response, which are not counted. */
    private static final int HEADER_BYTES = 1_000;

    /** Assumed for a route without samples, in bytes; near the sizes of lookups and bookings that the users state. */
    private static final double DEFAULT_BYTES = 4_000;

    /** Assumed for a route with long bodies and without samples, in bytes; near the sizes that the users state. */
    private static final double DEFAULT_LONG_BYTES = 64_000;

    private final ConcurrentHashMap<RouteName, Double> averages = new ConcurrentHashMap<>();

    private ExchangeSizes() {}

    /** Returns sizes without samples. */
    public static ExchangeSizes empty() {
        return new ExchangeSizes();
    }

    // -- queries

    /** Returns the expected bytes of a request on the route and its response. */
    public double expectedBytes(RouteName route, RequestKind kind) {
        boolean isLong = kind == RequestKind.DOWNLOAD || kind == RequestKind.UPLOAD;
        double initial = isLong ? DEFAULT_LONG_BYTES : DEFAULT_BYTES;
        return averages.getOrDefault(Objects.requireNonNull(route, "route is null"), initial);
    }

    // -- commands

    /** Records the body sizes of a request and its response, in bytes. */
    public void record(RouteName route, int requestBytes, int responseBytes) {
        double bytes = (double) HEADER_BYTES + requestBytes + responseBytes;
        averages.merge(
                Objects.requireNonNull(route, "route is null"),
                bytes,
                (average, newest) -> average * (1 - SMOOTHING_FACTOR) + newest * SMOOTHING_FACTOR);
    }
}
