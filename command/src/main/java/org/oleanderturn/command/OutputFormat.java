package org.oleanderturn.command;

import java.util.Locale;

/** The format of output and errors. */
public enum OutputFormat {
    /** Tables and messages for people. */
    TEXT,
    /** JSON for programs. */
    JSON;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
