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
 * The reason why bytes could not be decoded.
 *
 * @param path the malformed part of the value, such as {@code routes[2].methods}; empty when it is the whole value
 * @param reason what is wrong with that part
 */
public record DecodeFailure(String path, String reason) {

    /** The start of the message by which Jackson reports a null or missing primitive. */
    private static final String NULL_PRIMITIVE_MESSAGE = "Cannot map `null`";

    /** Throws {@link NullPointerException} if a component is null. */
    public DecodeFailure {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(reason, "reason is null");
    }

    /** Returns a failure at the given path; an empty path stands for the whole value. */
    public static DecodeFailure of(String path, String reason) {
        return new DecodeFailure(path, reason);
    }

    /** Converts an exception of the decoder into a failure. */
    public static DecodeFailure of(IOException cause) {
        return switch (cause) {
            case UnrecognizedPropertyException unknown ->
                new DecodeFailure(pathOf(unknown), "unknown field; known are " + knownFields(unknown));
            case ValueInstantiationException rejected -> new DecodeFailure(pathOf(rejected), messageOf(rejected));
            case MismatchedInputException missing
            when isNullPrimitive(missing) ->
                new DecodeFailure(pathOf(missing), "missing or null; expected " + missing.getTargetType());
            case JsonMappingException mapping -> new DecodeFailure(pathOf(mapping), mapping.getOriginalMessage());
            case JsonProcessingException processing -> new DecodeFailure("", processing.getOriginalMessage());
            default -> new DecodeFailure("", String.valueOf(cause.getMessage()));
        };
    }

    private static String knownFields(UnrecognizedPropertyException unknown) {
        return unknown.getKnownPropertyIds().stream()
                .map(String::valueOf)
                .sorted()
                .collect(Collectors.joining(", "));
    }

    private static String messageOf(ValueInstantiationException rejected) {
        Throwable cause = rejected.getCause();
        return cause == null ? rejected.getOriginalMessage() : String.valueOf(cause.getMessage());
    }

    private static boolean isNullPrimitive(MismatchedInputException mismatch) {
        Class<?> type = mismatch.getTargetType();
        return type != null
                && type.isPrimitive()
                && mismatch.getOriginalMessage().startsWith(NULL_PRIMITIVE_MESSAGE);
    }

    private static String pathOf(JsonMappingException cause) {
        return cause.getPath().stream()
                .map(DecodeFailure::pathElement)
                .collect(Collectors.joining("."))
                .replace(".[", "[");
    }

    private static String pathElement(JsonMappingException.Reference reference) {
        return reference.getFieldName() == null ? "[" + reference.getIndex() + "]" : reference.getFieldName();
    }
}
