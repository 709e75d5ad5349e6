package org.oleanderturn.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.oleanderturn.model.NodeId;

/**
 * Decides to which holder a node delegates its right to generate tokens; the node itself may be the holder.
 *
 * <p>Invariant: the right is given to another pool only after the longest time for which the last one can use it. Thread
 * safe.
 */
final class TokenDelegation {
    /**
     * How long the sender regards a right as given, from sending it. The holder's stamp is older than the message, so the
     * holder's time ends earlier; the difference covers clocks of different rates and the tolerance of {@link ClockAgreement}.
     */
    private static final long LEASE_NANOSECONDS = 2_500_000_000L;

    /** A right that names an older stamp would soon end; without answers of the holder it is not given again. */
    private static final long STAMP_USE_NANOSECONDS = 1_200_000_000L;

    private record Stamp(int epoch, long milliseconds, long receivedNanoseconds) {}

    private record Given(NodeId holder, int epoch, long untilNanoseconds) {}

    private final LongSupplier nanoseconds;
    private final Map<NodeId, Stamp> stamps = new HashMap<>();
    private Optional<Given> given = Optional.empty();

    TokenDelegation(LongSupplier nanoseconds) {
        this.nanoseconds = nanoseconds;
    }

    /** Returns the holder that may use the right now; empty when none may. */
    synchronized Optional<NodeId> holder() {
        return given.filter(this::isInForce).map(Given::holder);
    }

    /** Remembers the stamp of a holder, which the next right for it must name. */
    synchronized void recordStamp(NodeId holder, int epoch, long stamp) {
        if (stamps.size() > 2 && !stamps.containsKey(holder)) {
            stamps.clear();
        }
        stamps.put(holder, new Stamp(epoch, stamp, nanoseconds.getAsLong()));
    }

    /** Gives the right to a holder, or extends it; empty while another may use it, or while no recent stamp of it is known. */
    synchronized Optional<TokenRequest.Right> give(NodeId holder, int members) {
        Stamp stamp = stamps.get(holder);
        if (stamp == null || nanoseconds.getAsLong() - stamp.receivedNanoseconds() > STAMP_USE_NANOSECONDS) {
            return Optional.empty();
        }
        boolean isElsewhere = given.filter(this::isInForce)
                .filter(other -> !other.holder().equals(holder) || other.epoch() != stamp.epoch())
                .isPresent();
        if (isElsewhere) {
            return Optional.empty();
        }
        given = Optional.of(new Given(holder, stamp.epoch(), nanoseconds.getAsLong() + LEASE_NANOSECONDS));
        return Optional.of(new TokenRequest.Right(stamp.epoch(), stamp.milliseconds(), members));
    }

    private boolean isInForce(Given other) {
        return nanoseconds.getAsLong() < other.untilNanoseconds();
    }
}
