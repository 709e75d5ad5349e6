package org.oleanderturn.testbed;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * The faults that a stand-in of the store shows on request; the body of {@code POST /admin/faults}.
 *
 * <p>Immutable and thread safe.
 *
 * @param downMilliseconds how long from now every connection is closed and new ones are refused; 0 for not at all
 * @param delayMilliseconds how long each call takes before it takes effect, beside the settings' delay
 * @param loseAnswers whether calls take effect and their connection is then closed without an answer
 * @param loseRequests whether connections are closed before calls take effect
 */
public record StoreStandInFaults(
        long downMilliseconds, long delayMilliseconds, boolean loseAnswers, boolean loseRequests) {

    /** Returns the faults that a request names; those it leaves out are none. */
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

    /** Returns a delay of each call. */
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
