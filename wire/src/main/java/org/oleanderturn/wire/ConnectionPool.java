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
 * Idle connections by peer, the one used last given out first.
 *
 * <p>Invariant: no peer has more idle connections than the bound, and none is given out after its idle time. Thread
 * safe by its own lock, which is never held over a call to a peer.
 */
final class ConnectionPool implements AutoCloseable {
    private final int maximumIdlePerPeer;
    private final long idleMilliseconds;
    private final LongSupplier clockMilliseconds;
    private final Map<Address, Deque<IdleConnection>> idle = new HashMap<>();
    private boolean isClosed;

    ConnectionPool(int maximumPerPeer, long idleMilliseconds, LongSupplier clockMilliseconds) {
        this.maximumIdlePerPeer = maximumPerPeer;
        this.idleMilliseconds = idleMilliseconds;
        this.clockMilliseconds = clockMilliseconds;
    }

    /** Takes a live idle connection out of the pool. */
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

    /** Puts a connection back; one too many is closed. */
    synchronized void put(Address peer, FrameChannel connection) {
        Deque<IdleConnection> connections = idle.computeIfAbsent(peer, address -> new ArrayDeque<>());
        if (isClosed || connections.size() >= maximumIdlePerPeer) {
            connection.close();
            return;
        }
        connections.push(new IdleConnection(connection, clockMilliseconds.getAsLong()));
    }

    /** Returns how many connections are idle. */
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
        long oldest = clockMilliseconds.getAsLong() - idleMilliseconds;
        Iterator<Deque<IdleConnection>> peers = idle.values().iterator();
        while (peers.hasNext()) {
            Deque<IdleConnection> connections = peers.next();
            while (!connections.isEmpty() && connections.peekLast().idleSinceMilliseconds() <= oldest) {
                connections.removeLast().connection().close();
            }
            if (connections.isEmpty()) {
                peers.remove();
            }
        }
    }

    private record IdleConnection(FrameChannel connection, long idleSinceMilliseconds) {}
}
