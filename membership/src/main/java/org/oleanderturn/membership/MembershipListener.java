package org.oleanderturn.membership;

/**
 * Hears of changes of the table, but for those of held versions alone.
 *
 * <p>Called by the thread that made the change, after it; two calls may overtake each other, so a listener reads the
 * present table from {@link Gossip#table} and derives what it needs from that.
 */
@FunctionalInterface
public interface MembershipListener {

    /** Says that the table has changed. */
    void tableChanged();
}
