package org.oleanderturn.testbed;

import java.util.Objects;

/**
 * How a target stand-in behaves; replaced as a whole while it runs.
 *
 * <p>Immutable and thread safe.
 *
 * @param slots requests that it runs at once; more are shed
 * @param serviceMilliseconds the time of an ordinary request
 * @param stragglerPermille requests in a thousand that take {@code stragglerFactor} times as long
 * @param stragglerFactor how many times longer a straggler takes
 * @param slowFactor multiplies every request's time
 * @param failPercent requests in a hundred that answer 500
 * @param isHealthy whether the health endpoint says that the target takes work
 * @param downloadBytes the length of an answer to a download
 * @param downloadMilliseconds the time over which a download is sent
 */
public record TargetBehaviour(
        int slots,
        long serviceMilliseconds,
        int stragglerPermille,
        int stragglerFactor,
        int slowFactor,
        int failPercent,
        boolean isHealthy,
        int downloadBytes,
        long downloadMilliseconds) {

    /** Returns the behaviour of an ordinary target. */
    public static TargetBehaviour standard(int slots) {
        return new TargetBehaviour(slots, 5, 0, 1, 1, 0, true, 200_000, 200);
    }

    /** Returns whether another behaviour may take this one's place. */
    public static TargetBehaviour check(TargetBehaviour behaviour) {
        Objects.requireNonNull(behaviour, "behaviour is null");
        if (behaviour.slots() < 1 || behaviour.slowFactor() < 1 || behaviour.stragglerFactor() < 1) {
            throw new IllegalArgumentException("slots and factors are at least 1");
        }
        return behaviour;
    }
}
