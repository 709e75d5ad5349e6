package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Locality;
import org.oleanderturn.node.FrameCaller;
import org.oleanderturn.wire.Frame;
import org.oleanderturn.wire.WireFailure;

/**
 * Simulates the network between localities: delays each call by the one-way delay in both directions, can isolate one
 * locality from all others, and counts the configuration updates that are sent.
 *
 * <p>It wraps the calls that a node makes; the frames themselves are sent over loopback. Thread safe.
 */
final class BenchNetwork {
    private static final int TYPE_PREFIX_BYTES = 160;

    private final Map<Address, Locality> localities = new ConcurrentHashMap<>();
    private final AtomicReference<Optional<Locality>> isolated = new AtomicReference<>(Optional.empty());
    private final LongAdder crossRegionDeltas = new LongAdder();
    private final LongAdder crossRegionSnapshots = new LongAdder();
    private final LongAdder snapshots = new LongAdder();
    private final BenchVersionTraffic versionTraffic = new BenchVersionTraffic();

    void setLocality(Address address, Locality locality) {
        localities.put(address, locality);
    }

    // -- queries

    Locality localityOf(Address address) {
        return localities.get(address);
    }

    boolean isIsolated(Locality locality) {
        return isolated.get().filter(locality::equals).isPresent();
    }

    long crossRegionDeltas() {
        return crossRegionDeltas.sum();
    }

    long crossRegionSnapshots() {
        return crossRegionSnapshots.sum();
    }

    BenchVersionTraffic versionTraffic() {
        return versionTraffic;
    }

    /** Returns the number of whole configurations sent between nodes, within and across regions. */
    long snapshots() {
        return snapshots.sum();
    }

    // -- commands

    void isolate(Locality locality) {
        isolated.set(Optional.of(locality));
    }

    void heal() {
        isolated.set(Optional.empty());
    }

    /** Wraps the calls of the node with the given address. */
    FrameCaller callerFrom(Address self, FrameCaller caller) {
        return (peer, request, timeout) -> call(self, caller, peer, request, timeout);
    }

    private Either<WireFailure, Frame> call(
            Address address, FrameCaller caller, Address peer, Frame request, Duration timeout) {
        Locality self = localities.get(address);
        Locality other = localities.get(peer);
        if (isPartitioned(self, other)) {
            BenchClock.pause((double) timeout.toMillis());
            return Either.left(new WireFailure.Unreachable(peer, "locality is isolated"));
        }
        double oneWay = BenchLocalities.oneWayDelayMilliseconds(self, other);
        BenchClock.pause(oneWay);
        count(self, other, request);
        versionTraffic.record(address, peer, request);
        Either<WireFailure, Frame> response = caller.call(peer, request, timeout);
        response.peek(frame -> {
            count(self, other, frame);
            versionTraffic.record(peer, address, frame);
        });
        BenchClock.pause(oneWay);
        if (isPartitioned(self, other)) {
            return Either.left(new WireFailure.AnswerLost(peer, "locality is isolated"));
        }
        return response;
    }

    private boolean isPartitioned(Locality self, Locality other) {
        return !self.equals(other) && (isIsolated(self) || isIsolated(other));
    }

    /** Counts a frame that carries a configuration update, recognised by the type tags at the start of its payload. */
    private void count(Locality self, Locality other, Frame frame) {
        byte[] payload = frame.payload();
        String payloadPrefix =
                new String(payload, 0, Math.min(payload.length, TYPE_PREFIX_BYTES), StandardCharsets.ISO_8859_1);
        boolean isUpdate = payloadPrefix.contains("Push") || payloadPrefix.contains("Update");
        if (!isUpdate) {
            return;
        }
        boolean isCrossRegion = BenchLocalities.isCrossRegion(self, other);
        if (payloadPrefix.contains("Snapshot")) {
            snapshots.increment();
            crossRegionSnapshots.add(isCrossRegion ? 1 : 0);
            return;
        }
        if (payloadPrefix.contains("Delta") && isCrossRegion) {
            crossRegionDeltas.increment();
        }
    }
}
