package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.Address;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.ResponseMatcher;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.UpstreamExchange;
import org.oleanderturn.proxy.UpstreamFailure;

/**
 * Asks the health endpoint of the local target whether it accepts requests.
 *
 * <p>A node that has just started does not know whether the target deregistered at an earlier process of the node; a
 * heartbeat from before the deregistration may still be in flight. Thread safe.
 */
public final class TargetHealthCheck {
    /** Targets answer health checks at once; the heartbeat that waits for this one must be answered within a second. */
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private static final int BODY_LIMIT_BYTES = 65_536;

    private final Address address;
    private final UpstreamExchange client;
    private final ProtocolAdapter adapter;

    private TargetHealthCheck(Address address, UpstreamExchange client, ProtocolAdapter adapter) {
        this.address = address;
        this.client = client;
        this.adapter = adapter;
    }

    /** Returns the health check of the target at the given address. */
    public static TargetHealthCheck of(Address address, UpstreamExchange client, ProtocolAdapter adapter) {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(adapter, "adapter is null");
        return new TargetHealthCheck(address, client, adapter);
    }

    /** Returns where the local target listens. */
    Address address() {
        return address;
    }

    /** Returns whether the instance with the given start responds, is healthy and is not leaving; blocks. */
    public boolean isAcceptingRequests(TargetStart start) {
        return ask().exists(received -> HttpStatuses.isSuccess(received.status())
                && instance(received).filter(start.instance()::equals).isPresent());
    }

    /** Returns whether an instance other than that with the given start responds at the target's address; blocks. */
    boolean isOtherInstance(TargetStart start) {
        return ask().exists(received -> instance(received)
                .filter(found -> !found.equals(start.instance()))
                .isPresent());
    }

    private Optional<String> instance(BufferedResponse response) {
        return adapter.responseMetadata(response.headers()).instance();
    }

    private Either<UpstreamFailure, BufferedResponse> ask() {
        OutboundRequest request = new OutboundRequest(
                "GET", adapter.healthPath(), List.of(), new byte[0], SendPolicy.POOLED, TIMEOUT, TIMEOUT);
        return client.exchange(address, request, ResponseMatcher.framed(), BODY_LIMIT_BYTES, Cancellation.create());
    }
}
