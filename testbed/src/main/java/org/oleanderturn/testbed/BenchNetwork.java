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
 * The network between the places: delays every call by the way there and back, and cuts one place off on request.
 *
 * <p>It stands around the calls that a node makes; the frames themselves go over loopback. Thread safe.
 */
final class BenchNetwork {
    private static final int TYPE_PREFIX_BYTES = 160;

    private final Map<Address, Locality> places = new ConcurrentHashMap<>();
    private final AtomicReference<Optional<Locality>> cut = new AtomicReference<>(Optional.empty());
    private final LongAdder deltasAcross = new LongAdder();
    private final LongAdder snapshotsAcross = new LongAdder();
    private final LongAdder snapshots = new LongAdder();

    void place(Address address, Locality place) {
        places.put(address, place);
    }

    // -- queries

    Locality placeOf(Address address) {
        return places.get(address);
    }

    boolean isCutOff(Locality place) {
        return cut.get().filter(place::equals).isPresent();
    }

    long deltasAcross() {
        return deltasAcross.sum();
    }

    long snapshotsAcross() {
        return snapshotsAcross.sum();
    }

    /** Returns the whole configurations that went from any node to another. */
    long snapshots() {
        return snapshots.sum();
    }

    // -- commands

    void cutOff(Locality place) {
        cut.set(Optional.of(place));
    }

    void heal() {
        cut.set(Optional.empty());
    }

    /** Returns the calls of a node that stands at a place. */
    FrameCaller from(Locality self, FrameCaller caller) {
        return (peer, request, timeout) -> call(self, caller, peer, request, timeout);
    }

    private Either<WireFailure, Frame> call(
            Locality self, FrameCaller caller, Address peer, Frame request, Duration timeout) {
        Locality other = places.get(peer);
        if (isBetween(self, other)) {
            BenchClock.pause((double) timeout.toMillis());
            return Either.left(new WireFailure.Unreachable(peer, "cut off"));
        }
        double oneWay = BenchPlaces.oneWayMilliseconds(self, other);
        BenchClock.pause(oneWay);
        count(self, other, request);
        Either<WireFailure, Frame> answer = caller.call(peer, request, timeout);
        answer.peek(frame -> count(self, other, frame));
        BenchClock.pause(oneWay);
        return answer;
    }

    private boolean isBetween(Locality self, Locality other) {
        return !self.equals(other) && (isCutOff(self) || isCutOff(other));
    }

    private void count(Locality self, Locality other, Frame frame) {
        byte[] payload = frame.payload();
        String start = new String(payload, 0, Math.min(payload.length, TYPE_PREFIX_BYTES), StandardCharsets.ISO_8859_1);
        boolean isContent = start.contains("Push") || start.contains("Update");
        if (!isContent) {
            return;
        }
        boolean isAcross = BenchPlaces.isAcross(self, other);
        if (start.contains("Snapshot")) {
            snapshots.increment();
            snapshotsAcross.add(isAcross ? 1 : 0);
            return;
        }
        if (start.contains("Delta") && isAcross) {
            deltasAcross.increment();
        }
    }
}
