package org.oleanderturn.node;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.RoutingTable;

/**
 * Holds the current routing table and rebuilds it when the configuration or the endpoints change.
 *
 * <p>Invariant: the table is replaced as a whole, built from one snapshot and one endpoint view, and its version never
 * decreases. Thread safe; readers don't lock.
 */
final class RoutingState {
    private final Supplier<EndpointView> views;
    private final Consumer<RoutingTable> listener;
    private ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();
    private final AtomicReference<RoutingTable> table = new AtomicReference<>(RoutingTable.empty());

    RoutingState(Supplier<EndpointView> views, Consumer<RoutingTable> listener) {
        this.views = Objects.requireNonNull(views, "views is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
    }

    RoutingTable table() {
        return table.get();
    }

    /** Rebuilds the table from a newer snapshot. */
    synchronized void update(ConfigurationSnapshot newer) {
        snapshot = Objects.requireNonNull(newer, "newer is null");
        refresh();
    }

    /** Rebuilds the table from the current endpoint view, and passes it to the listener. */
    synchronized void refresh() {
        RoutingTable next = RoutingTable.of(snapshot, views.get());
        table.set(next);
        listener.accept(next);
    }
}
