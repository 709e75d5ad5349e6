package org.oleanderturn.testbed;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * How a stand-in of the platform's store behaves.
 *
 * <p>Immutable and thread safe.
 *
 * @param answerDelay how long each call takes before it takes effect
 * @param callsPerSecond the rate above which calls are refused; empty for no limit
 */
public record StoreStandInSettings(Duration answerDelay, OptionalInt callsPerSecond) {

    /** Checks that every part is there. */
    public StoreStandInSettings {
        Objects.requireNonNull(answerDelay, "answerDelay is null");
        Objects.requireNonNull(callsPerSecond, "callsPerSecond is null");
    }

    /** Returns the settings of a store that answers at once and refuses nothing. */
    public static StoreStandInSettings defaults() {
        return new StoreStandInSettings(Duration.ZERO, OptionalInt.empty());
    }

    /** Returns these settings with another delay of each call. */
    public StoreStandInSettings withAnswerDelay(Duration newAnswerDelay) {
        return new StoreStandInSettings(newAnswerDelay, callsPerSecond);
    }

    /** Returns these settings with a limit on the call rate. */
    public StoreStandInSettings withCallsPerSecond(int newCallsPerSecond) {
        return new StoreStandInSettings(answerDelay, OptionalInt.of(newCallsPerSecond));
    }
}
