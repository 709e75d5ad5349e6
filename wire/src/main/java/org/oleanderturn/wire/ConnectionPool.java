package org.oleanderturn.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.oleanderturn.model.Address;

/**
 * A pool of idle connections by peer; the most recently used one is taken first.
 *
 * <p>Invariant: the number of idle connections per peer is limited, and no connection is handed out after its idle
 * time. Thread safe by its own lock, which is never held during a call to a peer.
 */
final class ConnectionPool implements AutoCloseable {
    private final int maximumIdlePerPeer;
    private final long idleMilliseconds;
    private final LongSupplier clockMilliseconds;
    private final Map<Address, Deque<IdleConnection>> idle = new HashMap<>();
    private boolean isClosed;

    ConnectionPool(int maximumIdlePerPeer, long idleMilliseconds, LongSupplier clockMilliseconds) {
        this.maximumIdlePerPeer = maximumIdlePerPeer;
        this.idleMilliseconds = idleMilliseconds;
        this.clockMilliseconds = clockMilliseconds;
    }

    /** Removes and returns a reusable idle connection; empty if there is none. Closes those that are not reusable. */
    synchronized Optional<FrameChannel> take(Address peer) {
        removeExpired();
        Deque<IdleConnection> connections = idle.getOrDefault(peer, new ArrayDeque<>());
        while (!connections.isEmpty()) {
            FrameChannel connection = connections.pop().connection();
            if (connection.isReusable()) {
                return Optional.of(connection);
            }
            connection.close();
        }
        return Optional.empty();
    }

    /** Returns a connection to the pool; closes it if the pool is closed or has enough connections to the peer. */
    synchronized void put(Address peer, FrameChannel connection) {
        Deque<IdleConnection> connections = idle.computeIfAbsent(peer, address -> new ArrayDeque<>());
        if (isClosed || connections.size() >= maximumIdlePerPeer) {
            connection.close();
            return;
        }
        connections.push(new IdleConnection(connection, clockMilliseconds.getAsLong()));
    }

    /** Returns the number of idle connections. */
    synchronized int size() {
        return idle.values().stream().mapToInt(Deque::size).sum();
    }

    @Override
    public synchronized void close() {
        isClosed = true;
        idle.values()
                .forEach(connections ->
                        connections.forEach(entry -> entry.connection().close()));
        idle.clear();
    }

    private void removeExpired() {
        long oldestMilliseconds = clockMilliseconds.getAsLong() - idleMilliseconds;
        Iterator<Deque<IdleConnection>> peers = idle.values().iterator();
        while (peers.hasNext()) {
            Deque<IdleConnection> connections = peers.next();
            while (!connections.isEmpty() && connections.peekLast().idleSinceMilliseconds() <= oldestMilliseconds) {
                connections.removeLast().connection().close();
            }
            if (connections.isEmpty()) {
                peers.remove();
            }
        }
    }

    private record IdleConnection(FrameChannel connection, long idleSinceMilliseconds) {}
}
