package org.oleanderturn.node;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.DurationText;
import org.oleanderturn.model.Names;

/**
 * A field of the settings: its path, the format of its value, and whether it is required.
 *
 * <p>Immutable and thread safe.
 *
 * @param path the field's path, such as {@code platform.callsPerSecond}
 * @param format the format of its value
 * @param isRequired whether the field must be present when its section is
 */
record SettingsField(String path, ValueFormat format, boolean isRequired) {

    SettingsField {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(format, "format is null");
    }

    static SettingsField required(String path, ValueFormat format) {
        return new SettingsField(path, format, true);
    }

    static SettingsField optional(String path, ValueFormat format) {
        return new SettingsField(path, format, false);
    }

    /** Returns a field that is required when its section is present. */
    static SettingsField requiredIn(String section, String name, ValueFormat format) {
        return new SettingsField(section + "." + name, format, true);
    }

    /** Returns whether the settings must contain the field: it is required, and its section, if any, is present. */
    boolean isRequiredIn(JsonNode root) {
        int end = path.lastIndexOf('.');
        if (end < 0) {
            return isRequired;
        }
        String section = "/" + path.substring(0, end).replace('.', '/');
        return isRequired && !root.at(section).isMissingNode();
    }

    /** The format of a value. Implementations are immutable and thread safe. */
    sealed interface ValueFormat {

        /** Returns whether the value conforms to this format. */
        default boolean isMatchedBy(JsonNode value) {
            return switch (this) {
                case Section _ -> value.isObject();
                case Name _ -> value.isTextual() && Names.isWellFormed(value.textValue());
                case HostAndPort _ -> value.isTextual() && isAddress(value.textValue());
                case Path _ -> value.isTextual() && value.textValue().startsWith("/");
                case WholeNumber whole -> isWithin(value, whole);
                case Decimal decimal ->
                    value.isNumber()
                            && value.doubleValue() >= decimal.lowest()
                            && value.doubleValue() <= decimal.highest();
                case TimeSpan _ ->
                    value.isTextual() && DurationText.parse(value.textValue()).isPresent();
                case AddressList _ -> isAddressList(value);
                case Flag _ -> value.isBoolean();
                case NameList _ ->
                    value.isTextual()
                            && Arrays.stream(value.textValue().split(",", -1)).allMatch(Names::isWellFormed);
                case OneOf choice -> value.isTextual() && choice.words().contains(value.textValue());
            };
        }

        /** Returns a description for error messages, with the unit and the range. */
        default String describe() {
            return switch (this) {
                case Section _ -> "an object";
                case Name _ -> "a name of 1 to 63 lower-case letters, digits, dots, underscores and hyphens";
                case HostAndPort _ -> "an IP address and port, such as \"127.0.0.1:21001\"";
                case Path _ -> "a path that starts with a slash";
                case WholeNumber whole ->
                    "a whole number of " + whole.unit() + " from " + whole.lowest() + " to " + whole.highest();
                case Decimal decimal ->
                    "a number of " + decimal.unit() + " from " + decimal.lowest() + " to " + decimal.highest();
                case TimeSpan _ -> "a number and its unit, such as \"1500ms\" or \"2.5s\"";
                case Flag _ -> "true or false";
                case NameList _ -> "names, separated by commas";
                case OneOf choice -> "one of " + String.join(", ", choice.words());
                case AddressList _ -> "a list of IP addresses and ports, such as [\"127.0.0.1:23001\"]";
            };
        }

        private static boolean isWithin(JsonNode value, WholeNumber whole) {
            return value.isIntegralNumber()
                    && value.canConvertToLong()
                    && value.longValue() >= whole.lowest()
                    && value.longValue() <= whole.highest();
        }

        private static boolean isAddress(String text) {
            try {
                Address.parse(text);
                return true;
            } catch (IllegalArgumentException malformed) {
                return false;
            }
        }

        private static boolean isAddressList(JsonNode value) {
            if (!value.isArray()) {
                return false;
            }
            for (JsonNode element : value) {
                if (!element.isTextual() || !isAddress(element.textValue())) {
                    return false;
                }
            }
            return true;
        }

        /** An object with further fields. */
        record Section() implements ValueFormat {}

        /** A name as {@link Names} defines it. */
        record Name() implements ValueFormat {}

        /** An IP address and a port. */
        record HostAndPort() implements ValueFormat {}

        /** An absolute HTTP path. */
        record Path() implements ValueFormat {}

        /** An integer with a unit; both bounds are inclusive. */
        record WholeNumber(String unit, long lowest, long highest) implements ValueFormat {}

        /** A number with a unit; both bounds are inclusive. */
        record Decimal(String unit, long lowest, long highest) implements ValueFormat {}

        /** A duration with its unit, as {@link DurationText} parses it. */
        record TimeSpan() implements ValueFormat {}

        /** One of some words. */
        record OneOf(List<String> words) implements ValueFormat {
            /** Copies the words. */
            public OneOf {
                words = List.copyOf(words);
            }
        }

        /** Names as {@link Names} defines them, separated by commas. */
        record NameList() implements ValueFormat {}

        /** A boolean. */
        record Flag() implements ValueFormat {}

        /** A list of IP addresses and ports. */
        record AddressList() implements ValueFormat {}
    }
}
