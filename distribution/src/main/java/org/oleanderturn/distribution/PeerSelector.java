package org.oleanderturn.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.Locality.Distance;

/**
 * Selects the peers to exchange configuration updates with.
 *
 * <p>Invariant: only reachable peers are selected, each at most once per call. Thread safe.
 */
final class PeerSelector {
    private final PeerDirectory directory;
    private final Locality locality;
    private final RandomGenerator random;

    private PeerSelector(PeerDirectory directory, Locality locality, RandomGenerator random) {
        this.directory = directory;
        this.locality = locality;
        this.random = random;
    }

    static PeerSelector of(PeerDirectory directory, Locality locality, RandomGenerator random) {
        Objects.requireNonNull(directory, "directory is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(random, "random is null");
        return new PeerSelector(directory, locality, random);
    }

    /** Returns up to the given number of random peers in this node's zone. */
    List<Peer> fromOwnZone(int count) {
        return sample(reachablePeersAt(Distance.SAME_ZONE), count);
    }

    /** Returns up to the given number of random peers in each other zone of this node's region. */
    List<Peer> fromEachOtherZone(int count) {
        TreeMap<String, List<Peer>> zones = new TreeMap<>();
        for (Peer peer : reachablePeersAt(Distance.SAME_REGION)) {
            zones.computeIfAbsent(peer.locality().zone().value(), _ -> new ArrayList<>())
                    .add(peer);
        }
        return zones.values().stream()
                .flatMap(zone -> sample(zone, count).stream())
                .toList();
    }

    /**
     * Returns up to the given number of peers in each other region. The selection is deterministic: nodes that know the
     * same peers select the same ones in the same round, so that the relays of all zones contact the same few peers.
     */
    List<Peer> fromEachOtherRegion(int count, long round) {
        TreeMap<String, List<Peer>> regions = new TreeMap<>();
        for (Peer peer : reachablePeersAt(Distance.OTHER_REGION)) {
            regions.computeIfAbsent(peer.locality().region().value(), _ -> new ArrayList<>())
                    .add(peer);
        }
        List<Peer> selected = new ArrayList<>();
        for (List<Peer> peers : regions.values()) {
            peers.sort(Comparator.comparing(Peer::nodeId));
            int first = (int) Math.floorMod(round * count, (long) peers.size());
            for (int offset = 0; offset < Math.min(count, peers.size()); offset++) {
                selected.add(peers.get((first + offset) % peers.size()));
            }
        }
        return selected;
    }

    /** Returns the distance to the peer with an address; an unknown peer counts as in another region. */
    Distance distanceTo(Address address) {
        Optional<Peer> known = directory.peers().stream()
                .filter(peer -> peer.address().equals(address))
                .findFirst();
        return known.map(peer -> locality.distanceTo(peer.locality())).orElse(Distance.OTHER_REGION);
    }

    /** Returns the number of reachable peers in this node's region. */
    int countReachableInRegion() {
        return reachablePeersAt(Distance.SAME_ZONE).size()
                + reachablePeersAt(Distance.SAME_REGION).size();
    }

    /** Selects this node at random, so that on average the given number of nodes in this region are selected. */
    boolean isSelectedInRegion(int expectedCount) {
        synchronized (random) {
            return random.nextInt(countReachableInRegion() + 1) < expectedCount;
        }
    }

    /** Returns a random delay between half the given delay and the given delay, in milliseconds. */
    long jittered(long milliseconds) {
        synchronized (random) {
            return Backoff.jittered(random, milliseconds);
        }
    }

    private List<Peer> reachablePeersAt(Distance distance) {
        return directory.peers().stream()
                .filter(Peer::isReachable)
                .filter(peer -> locality.distanceTo(peer.locality()) == distance)
                .toList();
    }

    private List<Peer> sample(List<Peer> peers, int count) {
        List<Peer> remaining = new ArrayList<>(peers);
        List<Peer> selected = new ArrayList<>();
        synchronized (random) {
            while (selected.size() < count && !remaining.isEmpty()) {
                selected.add(remaining.remove(random.nextInt(remaining.size())));
            }
        }
        return selected;
    }
}
