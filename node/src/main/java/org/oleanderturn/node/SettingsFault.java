package org.oleanderturn.node;

/**
 * A reason why a settings file is rejected.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface SettingsFault {

    /** Returns a one-line description for operators. */
    default String describe() {
        return switch (this) {
            case Unreadable fault -> fault.file() + ": can't be read: " + fault.reason();
            case Malformed fault -> fault.path() + ": not JSON: " + fault.reason();
            case Missing fault -> fault.path() + ": missing; expected " + fault.expected();
            case Unknown fault -> fault.path() + ": unknown field";
            case Wrong fault -> fault.path() + ": found " + fault.found() + "; expected " + fault.expected();
        };
    }

    /** The file can't be read. */
    record Unreadable(String file, String reason) implements SettingsFault {}

    /** The file is not valid JSON. */
    record Malformed(String path, String reason) implements SettingsFault {}

    /** A required field is missing. */
    record Missing(String path, String expected) implements SettingsFault {}

    /** The file contains a field that is not a setting. */
    record Unknown(String path) implements SettingsFault {}

    /** A value has the wrong format; the expectation states the type, the unit and the range. */
    record Wrong(String path, String expected, String found) implements SettingsFault {}
}
