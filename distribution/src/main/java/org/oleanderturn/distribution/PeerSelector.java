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
 * Chooses the peers to exchange the configuration with.
 *
 * <p>Invariant: only reachable peers are chosen, each at most once. Thread safe.
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

    /** Returns up to the given number of random peers of this node's zone. */
    List<Peer> fromOwnZone(int count) {
        return sample(reachablePeersAt(Distance.SAME_ZONE), count);
    }

    /** Returns up to the given number of random peers of each other zone of this node's region. */
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
     * Returns up to the given number of peers of each other region. Every node that knows the same peers chooses the
     * same ones for the same turn, so that the relays of all zones offer a version to the same few.
     */
    List<Peer> fromEachOtherRegion(int count, long turn) {
        TreeMap<String, List<Peer>> regions = new TreeMap<>();
        for (Peer peer : reachablePeersAt(Distance.OTHER_REGION)) {
            regions.computeIfAbsent(peer.locality().region().value(), _ -> new ArrayList<>())
                    .add(peer);
        }
        List<Peer> chosen = new ArrayList<>();
        for (List<Peer> region : regions.values()) {
            region.sort(Comparator.comparing(Peer::nodeId));
            int first = (int) Math.floorMod(turn * count, (long) region.size());
            for (int step = 0; step < Math.min(count, region.size()); step++) {
                chosen.add(region.get((first + step) % region.size()));
            }
        }
        return chosen;
    }

    /** Returns how far the peer with an address is; an unknown one counts as far. */
    Distance distanceTo(Address address) {
        Optional<Peer> known = directory.peers().stream()
                .filter(peer -> peer.address().equals(address))
                .findFirst();
        return known.map(peer -> locality.distanceTo(peer.locality())).orElse(Distance.OTHER_REGION);
    }

    /** Returns how many reachable peers this node's region has. */
    int reachablePeersInRegion() {
        return reachablePeersAt(Distance.SAME_ZONE).size()
                + reachablePeersAt(Distance.SAME_REGION).size();
    }

    /** Returns whether one of the given number of draws among the nodes of this region falls on this node. */
    boolean isSelectedInRegion(int draws) {
        synchronized (random) {
            return random.nextInt(reachablePeersInRegion() + 1) < draws;
        }
    }

    /** Returns a delay between half the given one and the whole of it, in milliseconds. */
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
        List<Peer> left = new ArrayList<>(peers);
        List<Peer> chosen = new ArrayList<>();
        synchronized (random) {
            while (chosen.size() < count && !left.isEmpty()) {
                chosen.add(left.remove(random.nextInt(left.size())));
            }
        }
        return chosen;
    }
}
