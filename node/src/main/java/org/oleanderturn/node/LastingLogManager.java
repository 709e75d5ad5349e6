package org.oleanderturn.node;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process ends, so that a graceful stop is logged.
 *
 * <p>The JDK's own closes them as soon as the process is told to stop. The launch script names this one to the JVM. Thread
 * safe.
 */
public final class LastingLogManager extends LogManager {

    /** Called by the JVM. */
    public LastingLogManager() {
        super();
    }

    @Override
    public void reset() {
        // The JDK calls this from a hook of its own while the node still stops.
    }
}
