package org.oleanderturn.testbed;

import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.Address;

/**
 * What a load sends, where and how fast.
 *
 * <p>Immutable and thread safe.
 *
 * @param entries the caller addresses of nodes
 * @param requestsPerSecond the rate of the schedule
 * @param durationMilliseconds the length of the schedule
 * @param lookupPath the path of lookups
 * @param bookingPath the path of bookings
 * @param downloadPath the path of downloads
 * @param bookingPercent bookings in a hundred requests
 * @param downloadPercent downloads in a hundred requests
 * @param patienceMilliseconds how long after its scheduled time a request is still sent again
 * @param keyPrefix how the idempotency key of each booking begins
 * @param seed of the choice of kinds and entries
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

    private static final int HUNDRED = 100;

    /** Checks that every part is there and in range. */
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
        if (bookingPercent < 0 || downloadPercent < 0 || bookingPercent + downloadPercent > HUNDRED) {
            throw new IllegalArgumentException("shares are percents and together at most 100");
        }
    }

    /** Returns the kind of the request for which a number from 0 to 99 was drawn. */
    public LoadKind kindOf(int drawn) {
        if (drawn < bookingPercent) {
            return LoadKind.BOOKING;
        }
        return drawn < bookingPercent + downloadPercent ? LoadKind.DOWNLOAD : LoadKind.LOOKUP;
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
