package org.oleanderturn.store;

import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.model.Address;

/**
 * The address, timeouts and connection limits of a client of the store.
 *
 * <p>Invariant: every duration and count is positive. Immutable and thread safe.
 *
 * @param address where the store listens
 * @param connectTimeout the maximum wait for a connection, pooled or new
 * @param responseTimeout the longest time without a byte of the response
 * @param maximumWatch the longest wait of one watch; longer ones are reduced to it
 * @param maximumConnections the connections in the pool for watches, and in that for other calls
 */
public record StoreSettings(
        Address address,
        Duration connectTimeout,
        Duration responseTimeout,
        Duration maximumWatch,
        int maximumConnections) {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 500;
    private static final int RESPONSE_TIMEOUT_MILLISECONDS = 2_000;
    private static final int MAXIMUM_WATCH_MILLISECONDS = 20_000;
    private static final int MAXIMUM_CONNECTIONS = 16;

    /**
     * Checks the settings.
     *
     * @throws IllegalArgumentException when a duration or the number of connections is not positive
     * @throws NullPointerException when the address or a duration is null
     */
    public StoreSettings {
        Objects.requireNonNull(address, "address is null");
        requirePositive(connectTimeout, "connectTimeout");
        requirePositive(responseTimeout, "responseTimeout");
        requirePositive(maximumWatch, "maximumWatch");
        if (maximumConnections < 1) {
            throw new IllegalArgumentException("maximumConnections is below 1: " + maximumConnections);
        }
    }

    /** Returns the settings with the default timeouts for the store at the given address. */
    public static StoreSettings of(Address address) {
        return new StoreSettings(
                address,
                Duration.ofMillis(CONNECT_TIMEOUT_MILLISECONDS),
                Duration.ofMillis(RESPONSE_TIMEOUT_MILLISECONDS),
                Duration.ofMillis(MAXIMUM_WATCH_MILLISECONDS),
                MAXIMUM_CONNECTIONS);
    }

    /** Returns these settings with other timeouts. */
    public StoreSettings withTimeouts(Duration newConnectTimeout, Duration newResponseTimeout) {
        return new StoreSettings(address, newConnectTimeout, newResponseTimeout, maximumWatch, maximumConnections);
    }

    /** Returns these settings with another longest wait of a watch. */
    public StoreSettings withMaximumWatch(Duration newMaximumWatch) {
        return new StoreSettings(address, connectTimeout, responseTimeout, newMaximumWatch, maximumConnections);
    }

    private static void requirePositive(Duration duration, String name) {
        Objects.requireNonNull(duration, name + " is null");
        if (!duration.isPositive()) {
            throw new IllegalArgumentException(name + " is not positive: " + duration);
        }
    }

    /** Returns the given wait of a watch, reduced to the maximum. */
    public Duration limitWatch(Duration wait) {
        return wait.compareTo(maximumWatch) > 0 ? maximumWatch : wait;
    }
}
