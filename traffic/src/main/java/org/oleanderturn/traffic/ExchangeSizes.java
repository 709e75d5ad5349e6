package org.oleanderturn.traffic;

import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RouteName;

/**
 * How many bytes the requests of each route and their answers take, on average.
 *
 * <p>Invariant: an average is of the newest ten or so. Thread safe.
 */
public final class ExchangeSizes {
    /** Weight of the newest exchange in the average; sizes on a route differ by a few times and seldom change. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Bytes of the headers of a request and its answer, which are not counted one by one. */
    private static final int HEADER_BYTES = 1_000;

    /** Assumed of a route without an answer yet, in bytes; the users' sheets have lookups and bookings around it. */
    private static final double DEFAULT_BYTES = 4_000;

    /** Assumed of a download without an answer yet, in bytes; the users' sheets have documents around it. */
    private static final double DEFAULT_DOWNLOAD_BYTES = 64_000;

    private final ConcurrentHashMap<RouteName, Double> averages = new ConcurrentHashMap<>();

    private ExchangeSizes() {}

    /** Returns sizes of which nothing is known yet. */
    public static ExchangeSizes empty() {
        return new ExchangeSizes();
    }

    // -- queries

    /** Returns the bytes that a request on the route and its answer are expected to take. */
    public double expectedBytes(RouteName route, RequestKind kind) {
        double first = kind == RequestKind.DOWNLOAD ? DEFAULT_DOWNLOAD_BYTES : DEFAULT_BYTES;
        return averages.getOrDefault(Objects.requireNonNull(route, "route is null"), first);
    }

    // -- commands

    /** Notes the bytes of a request's body and of its answer's. */
    public void record(RouteName route, int requestBytes, int answerBytes) {
        double bytes = (double) HEADER_BYTES + requestBytes + answerBytes;
        averages.merge(
                Objects.requireNonNull(route, "route is null"),
                bytes,
                (average, newest) -> average * (1 - SMOOTHING_FACTOR) + newest * SMOOTHING_FACTOR);
    }
}
