package org.oleanderturn.testbed;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * The answer delay and the rate limit of a store stand-in.
 *
 * <p>Immutable and thread safe.
 *
 * @param answerDelay the delay before each call takes effect
 * @param callsPerSecond the rate above which calls are refused; empty for no limit
 */
public record StoreStandInSettings(Duration answerDelay, OptionalInt callsPerSecond) {

    /** Throws {@link NullPointerException} when a component is null. */
    public StoreStandInSettings {
        Objects.requireNonNull(answerDelay, "answerDelay is null");
        Objects.requireNonNull(callsPerSecond, "callsPerSecond is null");
    }

    /** Returns settings without an answer delay and without a rate limit. */
    public static StoreStandInSettings defaults() {
        return new StoreStandInSettings(Duration.ZERO, OptionalInt.empty());
    }

    /** Returns a copy of these settings with the given answer delay. */
    public StoreStandInSettings withAnswerDelay(Duration newAnswerDelay) {
        return new StoreStandInSettings(newAnswerDelay, callsPerSecond);
    }

    /** Returns a copy of these settings with the given rate limit. */
    public StoreStandInSettings withCallsPerSecond(int newCallsPerSecond) {
        return new StoreStandInSettings(answerDelay, OptionalInt.of(newCallsPerSecond));
    }
}
