package org.oleanderturn.proxy;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.traffic.NotRunReason;
import org.oleanderturn.traffic.QuarantineStatus;

/**
 * Handles callers' requests: routes each one and sends it to the guard of a target.
 *
 * <p>Invariants: a request is routed by one version of the routing table; a caller either gets the complete response to
 * its own request or sees its connection closed, never a truncated response that looks complete; when a request is
 * given up, its caller gets a response immediately. Thread safe.
 */
public final class Entry implements RequestHandler {
    private final Supplier<RoutingTable> routingTable;
    private final BooleanSupplier isReady;
    private final EntryDependencies dependencies;
    private final Optional<BookingHandler> bookingHandler;
    private final BodyMemoryBudget bodyBudget;

    private Entry(
            Supplier<RoutingTable> routingTable,
            BooleanSupplier isReady,
            EntryDependencies dependencies,
            Optional<BookingHandler> bookingHandler,
            BodyMemoryBudget bodyBudget) {
        this.routingTable = routingTable;
        this.isReady = isReady;
        this.dependencies = dependencies;
        this.bookingHandler = bookingHandler;
        this.bodyBudget = bodyBudget;
    }

    /**
     * Returns an entry that handles requests of all kinds.
     *
     * @param routingTable supplies the current routing table
     * @param isReady returns whether the node has a configuration that it may use
     * @param dependencies the shared collaborators of all requests
     * @param bookingHandler runs the requests of kind booking
     */
    public static Entry of(
            Supplier<RoutingTable> routingTable,
            BooleanSupplier isReady,
            EntryDependencies dependencies,
            BookingHandler bookingHandler) {
        Objects.requireNonNull(routingTable, "routingTable is null");
        Objects.requireNonNull(isReady, "isReady is null");
        Objects.requireNonNull(dependencies, "dependencies is null");
        Objects.requireNonNull(bookingHandler, "bookingHandler is null");
        return new Entry(
                routingTable, isReady, dependencies, Optional.of(bookingHandler), BodyMemoryBudget.ofHeapShare());
    }

    /** Returns an entry that is always ready and rejects bookings. */
    public static Entry withoutBookings(Supplier<RoutingTable> routingTable, EntryDependencies dependencies) {
        Objects.requireNonNull(routingTable, "routingTable is null");
        Objects.requireNonNull(dependencies, "dependencies is null");
        return new Entry(routingTable, () -> true, dependencies, Optional.empty(), BodyMemoryBudget.ofHeapShare());
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        if (!isReady.getAsBoolean()) {
            return LocalReplies.notRun(new RequestFault.NotReady());
        }
        RoutingTable table = routingTable.get();
        Optional<RoutingTable.Entry> entry = table.find(request.method(), request.path());
        if (entry.isEmpty()) {
            return LocalReplies.notRun(new RequestFault.NoRoute())
                    .withHeader(ProxyHeaders.CONFIGURATION_VERSION, table.version());
        }
        return reserve(request, entry.get()).withHeader(ProxyHeaders.CONFIGURATION_VERSION, table.version());
    }

    /** Returns a copy of this entry that uses the given budget for request bodies. */
    Entry withBodyBudget(BodyMemoryBudget other) {
        return new Entry(routingTable, isReady, dependencies, bookingHandler, other);
    }

    private Response reserve(InboundRequest request, RoutingTable.Entry entry) throws IOException {
        long bytes = RoutedRequestReader.maximumBodyBytes(request);
        if (!bodyBudget.tryReserve(bytes)) {
            return LocalReplies.notRun(new RequestFault.BodiesTooLarge(bodyBudget.limitBytes()));
        }
        try {
            return serve(request, entry);
        } finally {
            bodyBudget.release(bytes);
        }
    }

    private Response serve(InboundRequest request, RoutingTable.Entry entry) throws IOException {
        Either<RequestFault, RoutedRequest> read = RoutedRequestReader.read(request, entry, dependencies.clock());
        if (read.isLeft()) {
            return LocalReplies.notRun(read.getLeft());
        }
        RoutedRequest routed = read.get();
        if (dependencies.quarantine().status(routed.fingerprint())
                instanceof QuarantineStatus.Quarantined quarantined) {
            return LocalReplies.notRun(NotRunReason.QUARANTINED, quarantined.retryAfter());
        }
        if (routed.deadline().isExpired()) {
            return LocalReplies.notRun(NotRunReason.DEADLINE, Duration.ofMillis(1));
        }
        if (entry.route().kind() == RequestKind.BOOKING) {
            return bookingHandler
                    .map(handler -> handler.handle(request, routed, dependencies))
                    .orElseGet(() -> LocalReplies.notRun(new RequestFault.NotReady()));
        }
        return forward(request, routed);
    }

    private Response forward(InboundRequest request, RoutedRequest routed) throws IOException {
        RequestExecution execution = new RequestExecution(routed, dependencies);
        request.onPeerDisconnect(execution::callerDisconnected);
        return switch (execution.run()) {
            case ExecutionResult.Responded responded -> {
                request.onPeerDisconnect(responded.response().upstreamResponse()::abort);
                yield toResponse(responded.response());
            }
            case ExecutionResult.GivenUp givenUp ->
                givenUp.failureResponse()
                        .map(failure -> LocalReplies.targetFailure(failure, givenUp.localReply()))
                        .orElseGet(() -> LocalReplies.givenUp(givenUp.localReply(), givenUp.lastNotRunReason()));
        };
    }

    private static Response toResponse(AttemptResponse response) {
        UpstreamResponse upstream = response.upstreamResponse();
        return Response.of(
                        upstream.status(),
                        HeaderValues.forwardable(upstream.headers()),
                        new Response.Body.Streamed(upstream.length(), response))
                .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text());
    }
}
