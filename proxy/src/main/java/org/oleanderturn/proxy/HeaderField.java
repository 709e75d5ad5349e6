package org.oleanderturn.proxy;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One header of a request or an answer.
 *
 * <p>Immutable and thread safe.
 */
public record HeaderField(String name, String value) {

    /** Checks that both parts are there. */
    public HeaderField {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(value, "value is null");
    }

    /** Returns the header with the given name and value. */
    public static HeaderField of(String name, Object value) {
        return new HeaderField(name, String.valueOf(value));
    }

    /** Returns whether the header has the given name, which is not sensitive to case. */
    public boolean isNamed(String other) {
        return name.equalsIgnoreCase(other);
    }

    /** Returns the value of the first header with the given name. */
    public static Optional<String> find(List<HeaderField> headers, String name) {
        for (HeaderField header : headers) {
            if (header.isNamed(name)) {
                return Optional.of(header.value());
            }
        }
        return Optional.empty();
    }
}
