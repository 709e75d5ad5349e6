package org.oleanderturn.node;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.RoutingTable;

/**
 * The routing table in force.
 *
 * <p>Invariant: the table is replaced whole, from the snapshot and the view of the same moment, and its version never
 * falls. Readers take one reference without a lock; thread safe.
 */
final class RoutingState {
    private final Supplier<ConfigurationSnapshot> snapshots;
    private final Supplier<EndpointView> views;
    private final Consumer<RoutingTable> listener;
    private final AtomicReference<RoutingTable> table = new AtomicReference<>(RoutingTable.empty());

    RoutingState(
            Supplier<ConfigurationSnapshot> snapshots, Supplier<EndpointView> views, Consumer<RoutingTable> listener) {
        this.snapshots = Objects.requireNonNull(snapshots, "snapshots is null");
        this.views = Objects.requireNonNull(views, "views is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
    }

    RoutingTable table() {
        return table.get();
    }

    /** Makes the table anew of what is held now. */
    synchronized void refresh() {
        RoutingTable next = RoutingTable.of(snapshots.get(), views.get());
        table.set(next);
        listener.accept(next);
    }
}
