package org.oleanderturn.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
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

    private static final String NULL_PRIMITIVE = "Cannot map `null`";

    /** Checks that both parts are there. */
    public DecodeFailure {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(reason, "reason is null");
    }

    /** Returns a failure at the given place. */
    public static DecodeFailure of(String path, String reason) {
        return new DecodeFailure(path, reason);
    }

    /** Returns the failure that a decoder threw. */
    public static DecodeFailure of(IOException cause) {
        return switch (cause) {
            case UnrecognizedPropertyException unknown ->
                new DecodeFailure(pathOf(unknown), "unknown field; known are " + known(unknown));
            case ValueInstantiationException rejected -> new DecodeFailure(pathOf(rejected), problemOf(rejected));
            case MismatchedInputException missing
            when isNullPrimitive(missing) ->
                new DecodeFailure(pathOf(missing), "missing or null; expected " + missing.getTargetType());
            case JsonMappingException mapping -> new DecodeFailure(pathOf(mapping), mapping.getOriginalMessage());
            case JsonProcessingException processing -> new DecodeFailure("", processing.getOriginalMessage());
            default -> new DecodeFailure("", String.valueOf(cause.getMessage()));
        };
    }

    private static String known(UnrecognizedPropertyException unknown) {
        return unknown.getKnownPropertyIds().stream()
                .map(String::valueOf)
                .sorted()
                .collect(Collectors.joining(", "));
    }

    private static String problemOf(ValueInstantiationException rejected) {
        Throwable cause = rejected.getCause();
        return cause == null ? rejected.getOriginalMessage() : String.valueOf(cause.getMessage());
    }

    private static boolean isNullPrimitive(MismatchedInputException mismatch) {
        Class<?> type = mismatch.getTargetType();
        return type != null
                && type.isPrimitive()
                && mismatch.getOriginalMessage().startsWith(NULL_PRIMITIVE);
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
