package org.oleanderturn.command;

import java.util.Locale;

/** The form of answers and errors. */
public enum OutputFormat {
    /** Short tables for people. */
    TEXT,
    /** Records for programs. */
    JSON;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
