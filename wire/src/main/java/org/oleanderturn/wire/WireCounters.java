package org.oleanderturn.wire;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.oleanderturn.model.Address;

/**
 * Counts the bytes sent and received, in total and by peer.
 *
 * <p>Invariant: counters never decrease. At most {@value #MAXIMUM_PEERS} peers are counted separately; further peers
 * count only in the totals. Thread safe.
 */
public final class WireCounters {
    private static final int MAXIMUM_PEERS = 8192;

    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final Map<Address, PeerCounters> peers = new ConcurrentHashMap<>();

    private WireCounters() {}

    /** Returns new counters, all zero. */
    public static WireCounters empty() {
        return new WireCounters();
    }

    // -- commands

    void addSent(long bytes) {
        sentBytes.add(bytes);
    }

    void addReceived(long bytes) {
        receivedBytes.add(bytes);
    }

    void addSent(Address peer, long bytes) {
        addSent(bytes);
        if (isTracked(peer)) {
            countersOf(peer).sent.add(bytes);
        }
    }

    void addReceived(Address peer, long bytes) {
        addReceived(bytes);
        if (isTracked(peer)) {
            countersOf(peer).received.add(bytes);
        }
    }

    // -- queries

    /** Returns the bytes sent to all peers. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /** Returns the bytes received from all peers. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /** Returns the bytes exchanged with each peer, sorted by address. */
    public List<PeerBytes> byPeer() {
        return peers.entrySet().stream()
                .map(entry -> entry.getValue().snapshot(entry.getKey()))
                .sorted(Comparator.comparing(bytes -> bytes.peer().toString()))
                .toList();
    }

    private boolean isTracked(Address peer) {
        return peers.size() < MAXIMUM_PEERS || peers.containsKey(peer);
    }

    private PeerCounters countersOf(Address peer) {
        return peers.computeIfAbsent(peer, address -> new PeerCounters());
    }

    /** The bytes exchanged with one peer. */
    public record PeerBytes(Address peer, long sentBytes, long receivedBytes) {

        /** Rejects a null peer. */
        public PeerBytes {
            Objects.requireNonNull(peer, "peer is null");
        }
    }

    private static final class PeerCounters {
        private final LongAdder sent = new LongAdder();
        private final LongAdder received = new LongAdder();

        private PeerBytes snapshot(Address peer) {
            return new PeerBytes(peer, sent.sum(), received.sum());
        }
    }
}
