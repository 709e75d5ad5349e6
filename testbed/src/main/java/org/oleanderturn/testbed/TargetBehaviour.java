package org.oleanderturn.testbed;

import java.util.Objects;

/**
 * How a target stand-in behaves; the body of {@code POST /admin/behaviour}, which replaces all of it at run time.
 *
 * <p>Immutable and thread safe.
 *
 * @param slots the number of requests that run concurrently; further ones are shed
 * @param serviceMilliseconds the service time of a request that is not a straggler, before {@code slowFactor}
 * @param stragglerPermille of 1,000 requests, how many take {@code stragglerFactor} times as long
 * @param stragglerFactor multiplies the service time of a straggler
 * @param slowFactor multiplies the service time of every request
 * @param failPercent the percentage of requests that are answered with status 500
 * @param isHealthy whether the health endpoint answers 200 rather than 503
 * @param downloadBytes the body length of a download
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

    /** Returns a healthy behaviour without failures or stragglers, with a service time of 5 ms. */
    public static TargetBehaviour standard(int slots) {
        return new TargetBehaviour(slots, 5, 0, 1, 1, 0, true, 200_000, 200);
    }

    /**
     * Returns the given behaviour.
     *
     * @throws IllegalArgumentException when the slots or a factor are below 1
     */
    public static TargetBehaviour check(TargetBehaviour behaviour) {
        Objects.requireNonNull(behaviour, "behaviour is null");
        if (behaviour.slots() < 1 || behaviour.slowFactor() < 1 || behaviour.stragglerFactor() < 1) {
            throw new IllegalArgumentException("slots, slowFactor and stragglerFactor must be at least 1");
        }
        return behaviour;
    }
}
