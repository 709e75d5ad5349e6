package org.oleanderturn.testbed;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * The faults that a store stand-in injects; the body of {@code POST /admin/faults}.
 *
 * <p>Immutable and thread safe.
 *
 * @param downMilliseconds the length of an outage that begins at once, with every connection closed and new ones refused;
 *     0 for no outage
 * @param delayMilliseconds the delay before each call takes effect, in addition to that of the settings
 * @param loseAnswers whether connections are closed after calls took effect, without an answer
 * @param loseRequests whether connections are closed before calls take effect, without an answer
 */
public record StoreStandInFaults(
        long downMilliseconds, long delayMilliseconds, boolean loseAnswers, boolean loseRequests) {

    /** Returns the faults of a request body; an omitted fault is not injected. */
    @JsonCreator
    static StoreStandInFaults parse(
            @JsonProperty("downMilliseconds") Optional<Long> downMilliseconds,
            @JsonProperty("delayMilliseconds") Optional<Long> delayMilliseconds,
            @JsonProperty("loseAnswers") Optional<Boolean> loseAnswers,
            @JsonProperty("loseRequests") Optional<Boolean> loseRequests) {
        return new StoreStandInFaults(
                downMilliseconds.orElse(0L),
                delayMilliseconds.orElse(0L),
                loseAnswers.orElse(false),
                loseRequests.orElse(false));
    }

    /** Returns no faults. */
    public static StoreStandInFaults none() {
        return new StoreStandInFaults(0, 0, false, false);
    }

    /** Returns an outage of the given length. */
    public static StoreStandInFaults down(long milliseconds) {
        return new StoreStandInFaults(milliseconds, 0, false, false);
    }

    /** Returns a delay of each call by the given time. */
    public static StoreStandInFaults delay(long milliseconds) {
        return new StoreStandInFaults(0, milliseconds, false, false);
    }

    /** Returns the loss of every answer. */
    public static StoreStandInFaults losingAnswers() {
        return new StoreStandInFaults(0, 0, true, false);
    }

    /** Returns the loss of every request. */
    public static StoreStandInFaults losingRequests() {
        return new StoreStandInFaults(0, 0, false, true);
    }
}
