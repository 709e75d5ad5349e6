package org.oleanderturn.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import java.io.IOException;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * Says why bytes are not the encoding of a value.
 *
 * @param path the place in the value, such as {@code routes[2].methods}; empty when the whole is malformed
 * @param reason what was found there
 */
public record DecodeFailure(String path, String reason) {

    /** Checks that both parts are there. */
    public DecodeFailure {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(reason, "reason is null");
    }

    /** Returns a failure at the given place. */
    public static DecodeFailure of(String path, String reason) {
        return new DecodeFailure(path, reason);
    }

    static DecodeFailure of(IOException cause) {
        return switch (cause) {
            case JsonMappingException mapping -> new DecodeFailure(pathOf(mapping), mapping.getOriginalMessage());
            case JsonProcessingException processing -> new DecodeFailure("", processing.getOriginalMessage());
            default -> new DecodeFailure("", String.valueOf(cause.getMessage()));
        };
    }

    private static String pathOf(JsonMappingException cause) {
        return cause.getPath().stream()
                .map(DecodeFailure::step)
                .collect(Collectors.joining("."))
                .replace(".[", "[");
    }

    private static String step(JsonMappingException.Reference reference) {
        return reference.getFieldName() == null ? "[" + reference.getIndex() + "]" : reference.getFieldName();
    }
}
