package org.oleanderturn.membership;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.oleanderturn.model.Address;

/**
 * Sends messages to other members.
 *
 * <p>Implementations must be thread safe and every call must return within a bounded time. The timeout of a
 * {@link GossipMessage.PingRequest} must be longer than that of a {@link GossipMessage.Ping}, since the receiver itself
 * pings the target before it answers.
 */
@FunctionalInterface
public interface GossipTransport {

    /** Sends a message and waits for its answer. */
    Either<GossipFailure, GossipMessage> exchange(Address controlAddress, GossipMessage message);

    /**
     * Sends a message to several members and returns the answers in the same order.
     *
     * <p>The default implementation sends sequentially; a network implementation should send concurrently.
     */
    default List<Either<GossipFailure, GossipMessage>> exchangeAll(
            List<Address> controlAddresses, GossipMessage message) {
        List<Either<GossipFailure, GossipMessage>> answers = new ArrayList<>(controlAddresses.size());
        for (Address controlAddress : controlAddresses) {
            answers.add(exchange(controlAddress, message));
        }
        return answers;
    }

    /**
     * Sends a message to several members and ignores the answers.
     *
     * <p>The default implementation sends sequentially; a network implementation should return without waiting for the
     * answers.
     */
    default void push(List<Address> controlAddresses, GossipMessage message) {
        exchangeAll(controlAddresses, message);
    }
}
