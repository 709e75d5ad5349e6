package org.oleanderturn.proxy;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A header field of a request or a response.
 *
 * <p>Immutable and thread safe.
 */
public record HeaderField(String name, String value) {

    /** Throws {@link NullPointerException} if the name or the value is null. */
    public HeaderField {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(value, "value is null");
    }

    /** Returns a header whose value is the text of the given object. */
    public static HeaderField of(String name, Object value) {
        return new HeaderField(name, String.valueOf(value));
    }

    /** Returns whether the header has the given name; case is ignored. */
    public boolean isNamed(String other) {
        return name.equalsIgnoreCase(other);
    }

    /** Returns the value of the first header with the given name; empty if there is none. */
    public static Optional<String> find(List<HeaderField> headers, String name) {
        for (HeaderField header : headers) {
            if (header.isNamed(name)) {
                return Optional.of(header.value());
            }
        }
        return Optional.empty();
    }
}
