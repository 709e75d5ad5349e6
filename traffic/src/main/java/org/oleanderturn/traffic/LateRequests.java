package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.oleanderturn.model.OrganisationName;

/**
 * Keeps the tokens of organisations over their limits for requests that can still be answered within their target latency.
 *
 * <p>Load: an organisation sends many times its limit, and the clients that were refused return. All tokens are used either
 * way, but those that late requests take are missing for requests in time, whose answers are worth more to their callers.
 *
 * <p>Invariant: late requests are refused only while a request in time was refused within the last {@link #HOLD}. Thread
 * safe; never blocks.
 */
public final class LateRequests {
    /** For so long after the refusal of a request in time, late ones take no tokens: the entry asks holders as often. */
    static final Duration HOLD = Duration.ofMillis(500);

    /** Late clients wait at least for the hold, and no longer than clients usually wait at all. */
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(5);

    /** The refusals of requests in time, each at most {@link #HOLD} after the one before. */
    private record Shortage(long firstNanoseconds, long lastNanoseconds) {}

    private final ConcurrentHashMap<OrganisationName, Shortage> shortages = new ConcurrentHashMap<>();
    private final LongSupplier nanoseconds;

    private LateRequests(LongSupplier nanoseconds) {
        this.nanoseconds = nanoseconds;
    }

    /** Returns a decision that knows of no refusals; the clock must never go back. */
    public static LateRequests of(LongSupplier nanoseconds) {
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        return new LateRequests(nanoseconds);
    }

    // -- queries

    /**
     * Returns when a late request of an organisation may return; empty when it may take a token now.
     *
     * <p>An overload is expected to last as long again as it has lasted already.
     */
    public Optional<Duration> refusal(OrganisationName organisation) {
        Shortage shortage = shortages.get(organisation);
        long now = nanoseconds.getAsLong();
        if (shortage == null || now - shortage.lastNanoseconds() >= HOLD.toNanos()) {
            return Optional.empty();
        }
        long age = Math.max(HOLD.toNanos(), now - shortage.firstNanoseconds());
        return Optional.of(Duration.ofNanos(Math.min(age, LONGEST_WAIT.toNanos())));
    }

    // -- commands

    /** Remembers that a request in time was refused, as there was no token for it. */
    public void recordRefusal(OrganisationName organisation) {
        long now = nanoseconds.getAsLong();
        shortages.compute(
                organisation,
                (_, known) -> known == null || now - known.lastNanoseconds() >= HOLD.toNanos()
                        ? new Shortage(now, now)
                        : new Shortage(known.firstNanoseconds(), Math.max(known.lastNanoseconds(), now)));
    }

    /** Forgets all organisations but the given ones. */
    public void retain(Set<OrganisationName> organisations) {
        shortages.keySet().retainAll(organisations);
    }
}
