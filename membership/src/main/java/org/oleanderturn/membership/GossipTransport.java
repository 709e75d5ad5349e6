package org.oleanderturn.membership;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.oleanderturn.model.Address;

/**
 * Carries messages to other members.
 *
 * <p>Called by several threads, so an implementation has to be thread safe. Every call has to end in bounded time; a
 * {@link GossipMessage.PingRequest} needs longer than a {@link GossipMessage.Ping}, since the receiver pings in turn.
 */
@FunctionalInterface
public interface GossipTransport {

    /** Sends a message and returns its answer. */
    Either<GossipFailure, GossipMessage> exchange(Address controlAddress, GossipMessage message);

    /**
     * Sends a message to several members and returns the answers in the same order.
     *
     * <p>This one sends in turn; an implementation over a network should send to all at once.
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
     * Sends a message to several members without need of the answers.
     *
     * <p>This one sends in turn; an implementation over a network should return before the answers.
     */
    default void push(List<Address> controlAddresses, GossipMessage message) {
        exchangeAll(controlAddresses, message);
    }
}
