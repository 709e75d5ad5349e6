package org.oleanderturn.proxy;

import java.util.Objects;

/**
 * How large the body of a response may be, and the memory that it is read into.
 *
 * <p>Immutable; the reservation is thread safe.
 *
 * @param limitBytes the maximum length of the body
 * @param reservation what the head and the body are reserved from; the body stays reserved
 */
public record BodyAllowance(int limitBytes, BodyReservation reservation) {

    /** Throws a {@link NullPointerException} if the reservation is null. */
    public BodyAllowance {
        Objects.requireNonNull(reservation, "reservation is null");
    }
}
