package org.oleanderturn.node;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.DurationText;
import org.oleanderturn.model.Names;

/**
 * One field of the settings: its path, its form, and whether it is needed.
 *
 * <p>Immutable and thread safe.
 *
 * @param path the field's path, such as {@code platform.callsPerSecond}
 * @param form what its value must look like
 * @param isRequired whether it must be there
 */
record SettingsField(String path, Form form, boolean isRequired) {

    SettingsField {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(form, "form is null");
    }

    static SettingsField required(String path, Form form) {
        return new SettingsField(path, form, true);
    }

    static SettingsField optional(String path, Form form) {
        return new SettingsField(path, form, false);
    }

    /** Returns a field that must be there when the section that holds it is. */
    static SettingsField requiredIn(String section, String name, Form form) {
        return new SettingsField(section + "." + name, form, true);
    }

    /** Returns whether the field must be there: it is required, and so is its section or the section is there. */
    boolean isRequiredIn(JsonNode root) {
        int end = path.lastIndexOf('.');
        if (end < 0) {
            return isRequired;
        }
        String section = "/" + path.substring(0, end).replace('.', '/');
        return isRequired && !root.at(section).isMissingNode();
    }

    /** What a value must look like. */
    sealed interface Form {

        /** Returns whether the value has this form. */
        default boolean isMatch(JsonNode value) {
            return switch (this) {
                case Section _ -> value.isObject();
                case Name _ -> value.isTextual() && Names.isWellFormed(value.textValue());
                case HostAndPort _ -> value.isTextual() && isAddress(value.textValue());
                case Path _ -> value.isTextual() && value.textValue().startsWith("/");
                case Whole whole -> isWithin(value, whole);
                case Decimal decimal ->
                    value.isNumber()
                            && value.doubleValue() >= decimal.lowest()
                            && value.doubleValue() <= decimal.highest();
                case TimeSpan _ ->
                    value.isTextual() && DurationText.parse(value.textValue()).isPresent();
                case Addresses _ -> isAddresses(value);
            };
        }

        /** Returns the form in words, with its unit and range. */
        default String describe() {
            return switch (this) {
                case Section _ -> "an object";
                case Name _ -> "a name of 1 to 63 lower-case letters, digits, dots, underscores and hyphens";
                case HostAndPort _ -> "an IP number and port, as \"127.0.0.1:21001\"";
                case Path _ -> "a path that starts with a slash";
                case Whole whole ->
                    "a whole number of " + whole.unit() + " from " + whole.lowest() + " to " + whole.highest();
                case Decimal decimal ->
                    "a number of " + decimal.unit() + " from " + decimal.lowest() + " to " + decimal.highest();
                case TimeSpan _ -> "a number and its unit, as \"1500ms\" or \"2.5s\"";
                case Addresses _ -> "a list of IP numbers and ports, as [\"127.0.0.1:23001\"]";
            };
        }

        private static boolean isWithin(JsonNode value, Whole whole) {
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

        private static boolean isAddresses(JsonNode value) {
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

        /** An object that holds other fields. */
        record Section() implements Form {}

        /** A well-formed name. */
        record Name() implements Form {}

        /** An IP number and a port. */
        record HostAndPort() implements Form {}

        /** A path of HTTP. */
        record Path() implements Form {}

        /** A whole number with a unit; both bounds are inclusive. */
        record Whole(String unit, long lowest, long highest) implements Form {}

        /** A number with a unit; both bounds are inclusive. */
        record Decimal(String unit, long lowest, long highest) implements Form {}

        /** A time with its unit. */
        record TimeSpan() implements Form {}

        /** A list of IP numbers and ports. */
        record Addresses() implements Form {}
    }
}
