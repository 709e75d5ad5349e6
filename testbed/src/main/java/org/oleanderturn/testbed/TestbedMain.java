package org.oleanderturn.testbed;

/** Starts the process. */
public final class TestbedMain {
    private TestbedMain() {}

    /** Runs until the process is stopped. */
    public static void main(String[] arguments) {}
}
