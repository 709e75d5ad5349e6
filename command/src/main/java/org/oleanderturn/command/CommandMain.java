package org.oleanderturn.command;

/** Starts the process. */
public final class CommandMain {
    private CommandMain() {}

    /** Runs until the process is stopped. */
    public static void main(String[] arguments) {}
}
