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
public final class TargetCheck {
    /** The longest wait for the target, which answers health checks at once; its heartbeat has to be answered in a second. */
    private static final Duration PATIENCE = Duration.ofMillis(400);

    private static final int BODY_LIMIT_BYTES = 65_536;

    private final Address address;
    private final UpstreamClient client;
    private final Dialect dialect;

    private TargetCheck(Address address, UpstreamClient client, Dialect dialect) {
        this.address = address;
        this.client = client;
        this.dialect = dialect;
    }

    /** Returns the check of the target at an address. */
    public static TargetCheck of(Address address, UpstreamClient client, Dialect dialect) {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(dialect, "dialect is null");
        return new TargetCheck(address, client, dialect);
    }

    /** Returns whether the instance that started is healthy and does not leave; blocks. */
    public boolean isTakingWork(TargetStart start) {
        OutboundRequest request = new OutboundRequest(
                "GET", dialect.healthPath(), List.of(), new byte[0], SendPolicy.POOLED, PATIENCE, PATIENCE);
        Either<UpstreamFailure, BufferedResponse> answer =
                client.exchange(address, request, ResponseMatcher.framed(), BODY_LIMIT_BYTES, Cancellation.create());
        return answer.exists(whole -> HttpStatuses.isSuccess(whole.status())
                && dialect.signals(whole.headers())
                        .instance()
                        .filter(start.instance()::equals)
                        .isPresent());
    }
}
