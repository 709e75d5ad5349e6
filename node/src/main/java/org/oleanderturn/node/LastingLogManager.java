package org.oleanderturn.node;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process ends, so that a graceful stop is logged.
 *
 * <p>The JDK's own closes them as soon as the process is told to stop. Thread safe.
 */
public final class LastingLogManager extends LogManager {

    /** Called by the JDK, which names this class by a system property. */
    public LastingLogManager() {
        super();
    }

    /** Makes this the process's log manager; to be called before anything is logged. */
    static void install() {
        System.setProperty("java.util.logging.manager", LastingLogManager.class.getName());
    }

    @Override
    public void reset() {
        // The JDK calls this from a hook of its own while the node still stops.
    }
}
