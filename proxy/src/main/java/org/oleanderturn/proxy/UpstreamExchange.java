package org.oleanderturn.proxy;

import io.vavr.control.Either;
import java.time.Duration;
import org.oleanderturn.model.Address;

/**
 * Exchanges requests for whole responses with other nodes and with targets.
 *
 * <p>Invariants: a request is sent at most once; a failure states whether the request can have run. Implementations are
 * thread safe and block until the exchange ends.
 */
public interface UpstreamExchange extends AutoCloseable {

    /**
     * Sends a request and reads the whole response.
     *
     * @param matcher distinguishes the response from late responses to earlier requests on the connection
     * @param allowance the limits of the body; a body over them ends the exchange with a {@link
     *     UpstreamFailure.LimitExceeded}
     */
    Either<UpstreamFailure, BufferedResponse> exchange(
            Address peer,
            OutboundRequest request,
            ResponseMatcher matcher,
            BodyAllowance allowance,
            Cancellation cancellation);

    /** Sends a request and reads the whole response, whose body has a small limit and no share of a memory budget. */
    default Either<UpstreamFailure, BufferedResponse> exchange(
            Address peer, OutboundRequest request, ResponseMatcher matcher, int limitBytes, Cancellation cancellation) {
        BodyAllowance allowance = new BodyAllowance(limitBytes, BodyReservation.unlimited());
        return exchange(peer, request, matcher, allowance, cancellation);
    }

    /** Returns whether a process accepts a connection at an address within the given time. */
    boolean isListening(Address address, Duration timeout);

    /** Closes connections that have been idle for the given time. */
    void closeIdleConnections(Duration idle);

    @Override
    void close();
}
