package org.oleanderturn.distribution;

/**
 * Is told the events in the distribution of versions.
 *
 * <p>Implementations are thread safe and neither block nor throw; they may be called under the lock of a holder.
 */
@FunctionalInterface
public interface VersionListener {

    /** Records an event. */
    void record(VersionEvent event);

    /** Returns a listener that ignores all events. */
    static VersionListener none() {
        return _ -> {};
    }
}
