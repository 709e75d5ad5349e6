package org.oleanderturn.testbed;

import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.Address;

/**
 * The schedule of a load and the requests that it sends.
 *
 * <p>Immutable and thread safe.
 *
 * @param entries the caller addresses of nodes; at least one
 * @param requestsPerSecond the rate of the schedule; at least 1
 * @param durationMilliseconds the length of the schedule
 * @param lookupPath the path of lookups
 * @param bookingPath the path of bookings
 * @param downloadPath the path of downloads
 * @param bookingPercent the percentage of bookings
 * @param downloadPercent the percentage of downloads; the remainder are lookups
 * @param patienceMilliseconds how long after its scheduled time a request is still retried
 * @param keyPrefix the prefix of each idempotency key
 * @param seed the seed of the random choice of request kinds and entries
 */
public record LoadPlan(
        List<Address> entries,
        int requestsPerSecond,
        long durationMilliseconds,
        String lookupPath,
        String bookingPath,
        String downloadPath,
        int bookingPercent,
        int downloadPercent,
        long patienceMilliseconds,
        String keyPrefix,
        long seed) {

    private static final int PERCENT = 100;

    /**
     * Copies the entries.
     *
     * @throws IllegalArgumentException when there is no entry, the rate is below 1 or a percentage is out of range
     */
    public LoadPlan {
        Objects.requireNonNull(entries, "entries is null");
        Objects.requireNonNull(lookupPath, "lookupPath is null");
        Objects.requireNonNull(bookingPath, "bookingPath is null");
        Objects.requireNonNull(downloadPath, "downloadPath is null");
        Objects.requireNonNull(keyPrefix, "keyPrefix is null");
        entries = List.copyOf(entries);
        if (entries.isEmpty() || requestsPerSecond < 1) {
            throw new IllegalArgumentException("a load needs an entry and a rate of at least 1");
        }
        if (bookingPercent < 0 || downloadPercent < 0 || bookingPercent + downloadPercent > PERCENT) {
            throw new IllegalArgumentException(
                    "booking and download percentages must not be negative and must add up to at most 100");
        }
    }

    /** Returns the kind of request for a random number from 0 to 99. */
    public LoadKind kindOf(int randomPercent) {
        if (randomPercent < bookingPercent) {
            return LoadKind.BOOKING;
        }
        return randomPercent < bookingPercent + downloadPercent ? LoadKind.DOWNLOAD : LoadKind.LOOKUP;
    }

    /** Returns the path of the requests of one kind. */
    public String pathOf(LoadKind kind) {
        return switch (kind) {
            case LOOKUP -> lookupPath;
            case BOOKING -> bookingPath;
            case DOWNLOAD -> downloadPath;
        };
    }
}
