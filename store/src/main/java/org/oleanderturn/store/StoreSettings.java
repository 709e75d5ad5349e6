package org.oleanderturn.store;

import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.model.Address;

/**
 * How the platform's store is reached.
 *
 * <p>Invariant: every duration and count is positive. Immutable and thread safe.
 *
 * @param address where the store listens
 * @param connectTimeout the longest wait for a connection, pooled or new
 * @param responseTimeout the longest silence while an answer is awaited
 * @param maximumWatch the longest wait of one watch; a longer one is cut to it
 * @param maximumConnections the most connections held for calls, and as many again for watches
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

    /** Checks that every part is there and positive. */
    public StoreSettings {
        Objects.requireNonNull(address, "address is null");
        requirePositive(connectTimeout, "connectTimeout");
        requirePositive(responseTimeout, "answerTimeout");
        requirePositive(maximumWatch, "longestWatch");
        if (maximumConnections < 1) {
            throw new IllegalArgumentException("connections is below 1: " + maximumConnections);
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
    public StoreSettings withTimeouts(Duration newConnectTimeout, Duration newAnswerTimeout) {
        return new StoreSettings(address, newConnectTimeout, newAnswerTimeout, maximumWatch, maximumConnections);
    }

    private static void requirePositive(Duration duration, String name) {
        Objects.requireNonNull(duration, name + " is null");
        if (!duration.isPositive()) {
            throw new IllegalArgumentException(name + " is not positive: " + duration);
        }
    }

    /** Returns how long a watch that is to wait for the given time may wait. */
    public Duration limitWatch(Duration wait) {
        return wait.compareTo(maximumWatch) > 0 ? maximumWatch : wait;
    }
}
