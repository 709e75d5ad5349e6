package org.oleanderturn.node;

/**
 * Why a settings file can't be used.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface SettingsFault {

    /** Returns one line for an operator. */
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

    /** The file is not JSON. */
    record Malformed(String path, String reason) implements SettingsFault {}

    /** A field that is needed is not there. */
    record Missing(String path, String expected) implements SettingsFault {}

    /** A field is there that is no setting. */
    record Unknown(String path) implements SettingsFault {}

    /** A field has a value of another form; what is expected names the type, the unit and the range. */
    record Wrong(String path, String expected, String found) implements SettingsFault {}
}
