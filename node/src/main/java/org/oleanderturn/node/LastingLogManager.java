package org.oleanderturn.node;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process exits, so that a graceful stop is logged.
 *
 * <p>The JDK's log manager closes its handlers in a shutdown hook, while the node is still stopping. The launch script
 * selects this class with {@code java.util.logging.manager}. Thread safe.
 */
public final class LastingLogManager extends LogManager {

    /** Instantiated by the JVM. */
    public LastingLogManager() {
        super();
    }

    @Override
    public void reset() {
        // Called by the JDK's shutdown hook while the node is still stopping.
    }
}
