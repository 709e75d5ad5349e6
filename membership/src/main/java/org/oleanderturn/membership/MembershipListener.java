package org.oleanderturn.membership;

/**
 * Is notified of changes to the member table, except those that only concern held versions.
 *
 * <p>Called after the change by the thread that made it. Concurrent calls may arrive out of order, so a listener must
 * read the current table from {@link Gossip#table}.
 */
@FunctionalInterface
public interface MembershipListener {

    /** Called after the table has changed. */
    void tableChanged();
}
