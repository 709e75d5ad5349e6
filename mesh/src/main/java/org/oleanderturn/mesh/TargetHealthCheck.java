package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.Address;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.ResponseMatcher;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.proxy.UpstreamFailure;

/**
 * Asks the local target once whether it takes work.
 *
 * <p>A node that has just started does not know whether the target told an earlier process that it leaves; a heartbeat
 * from before that may still be on its way. Thread safe.
 */
public final class TargetHealthCheck {
    /** The longest wait for the target, which answers health checks at once; its heartbeat has to be answered in a second. */
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private static final int BODY_LIMIT_BYTES = 65_536;

    private final Address address;
    private final UpstreamClient client;
    private final ProtocolAdapter adapter;

    private TargetHealthCheck(Address address, UpstreamClient client, ProtocolAdapter dialect) {
        this.address = address;
        this.client = client;
        this.adapter = dialect;
    }

    /** Returns the check of the target at an address. */
    public static TargetHealthCheck of(Address address, UpstreamClient client, ProtocolAdapter dialect) {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(dialect, "dialect is null");
        return new TargetHealthCheck(address, client, dialect);
    }

    /** Returns whether the instance that started is healthy and does not leave; blocks. */
    public boolean isAcceptingWork(TargetStart start) {
        OutboundRequest request = new OutboundRequest(
                "GET", adapter.healthPath(), List.of(), new byte[0], SendPolicy.POOLED, TIMEOUT, TIMEOUT);
        Either<UpstreamFailure, BufferedResponse> answer =
                client.exchange(address, request, ResponseMatcher.framed(), BODY_LIMIT_BYTES, Cancellation.create());
        return answer.exists(whole -> HttpStatuses.isSuccess(whole.status())
                && adapter.answerMetadata(whole.headers())
                        .instance()
                        .filter(start.instance()::equals)
                        .isPresent());
    }
}
