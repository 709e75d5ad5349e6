package org.oleanderturn.node;

/** Starts the process. */
public final class NodeMain {
    private NodeMain() {}

    /** Runs until the process is stopped. */
    public static void main(String[] arguments) {}
}
