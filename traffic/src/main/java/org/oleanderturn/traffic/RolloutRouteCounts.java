package org.oleanderturn.traffic;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Objects;

/**
 * What one entry has seen of both versions on a route since it learned of the order. Encoded as an array.
 *
 * <p>Immutable and thread safe.
 *
 * @param route a hash of the route's name, which is all that is needed to compare the same route of several nodes
 * @param next of the new version
 * @param current of the old version
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"route", "next", "current"})
public record RolloutRouteCounts(int route, RolloutCounts next, RolloutCounts current) {

    /** Throws a {@link NullPointerException} when a component is null. */
    public RolloutRouteCounts {
        Objects.requireNonNull(next, "next is null");
        Objects.requireNonNull(current, "current is null");
    }
}
