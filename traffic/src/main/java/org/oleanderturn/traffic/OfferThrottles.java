package org.oleanderturn.traffic;

import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.ServiceName;

/**
 * The {@link OfferThrottle}s of one node.
 *
 * <p>Invariant: each service has one throttle for each priority, as targets refuse the less urgent requests first and the
 * others are still to be offered. Thread safe, without locks once a service and priority are known.
 */
public final class OfferThrottles {
    private final LongSupplier nanoseconds;
    private final RandomGenerator random;
    private final ConcurrentHashMap<Key, OfferThrottle> throttles = new ConcurrentHashMap<>();

    private OfferThrottles(LongSupplier nanoseconds, RandomGenerator random) {
        this.nanoseconds = nanoseconds;
        this.random = random;
    }

    /** Returns throttles that have seen no offer; the clock is in nanoseconds. */
    public static OfferThrottles of(LongSupplier nanoseconds, RandomGenerator random) {
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new OfferThrottles(nanoseconds, random);
    }

    private record Key(ServiceName service, int priority) {}

    /** Returns the throttle of the requests of a priority to a service. */
    public OfferThrottle throttle(ServiceName service, int priority) {
        return throttles.computeIfAbsent(
                new Key(Objects.requireNonNull(service, "service is null"), priority),
                _ -> OfferThrottle.of(nanoseconds, random));
    }
}
