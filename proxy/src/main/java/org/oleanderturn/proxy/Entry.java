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
 * Answers callers' requests by sending them to guards.
 *
 * <p>Invariants: a request is routed by one routing table; each caller gets the whole answer to its own request or a cut
 * connection, never a part that looks whole; a request that is given up is answered at once. Thread safe.
 */
public final class Entry implements RequestHandler {
    private final Supplier<RoutingTable> tables;
    private final BooleanSupplier isReady;
    private final EntryDependencies dependencies;
    private final Optional<BookingHandler> bookings;
    private final BodyMemoryBudget bodyBudget;

    private Entry(
            Supplier<RoutingTable> tables,
            BooleanSupplier isReady,
            EntryDependencies parts,
            Optional<BookingHandler> bookings,
            BodyMemoryBudget bodies) {
        this.tables = tables;
        this.isReady = isReady;
        this.dependencies = parts;
        this.bookings = bookings;
        this.bodyBudget = bodies;
    }

    /**
     * Returns an entry.
     *
     * @param tables gives the routing table in force
     * @param isReady says whether the node holds a configuration that it may serve
     */
    public static Entry of(
            Supplier<RoutingTable> tables, BooleanSupplier isReady, EntryDependencies parts, BookingHandler bookings) {
        Objects.requireNonNull(tables, "tables is null");
        Objects.requireNonNull(isReady, "isReady is null");
        Objects.requireNonNull(parts, "parts is null");
        Objects.requireNonNull(bookings, "bookings is null");
        return new Entry(tables, isReady, parts, Optional.of(bookings), BodyMemoryBudget.ofHeapShare());
    }

    /** Returns an entry that is always ready and refuses bookings. */
    public static Entry withoutBookings(Supplier<RoutingTable> tables, EntryDependencies parts) {
        Objects.requireNonNull(tables, "tables is null");
        Objects.requireNonNull(parts, "parts is null");
        return new Entry(tables, () -> true, parts, Optional.empty(), BodyMemoryBudget.ofHeapShare());
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        if (!isReady.getAsBoolean()) {
            return LocalReplies.notRun(new RequestFault.NotReady());
        }
        RoutingTable table = tables.get();
        Optional<RoutingTable.Entry> entry = table.find(request.method(), request.path());
        if (entry.isEmpty()) {
            return LocalReplies.notRun(new RequestFault.NoRoute())
                    .withHeader(ProxyHeaders.CONFIGURATION_VERSION, table.version());
        }
        return reserve(request, entry.get()).withHeader(ProxyHeaders.CONFIGURATION_VERSION, table.version());
    }

    /** Returns this entry with another room for bodies. */
    Entry withBodyBudget(BodyMemoryBudget other) {
        return new Entry(tables, isReady, dependencies, bookings, other);
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
        RoutedRequest course = read.get();
        if (dependencies.quarantine().status(course.fingerprint()) instanceof QuarantineStatus.Quarantined convicted) {
            return LocalReplies.notRun(NotRunReason.QUARANTINED, convicted.retryAfter());
        }
        if (course.deadline().isExpired()) {
            return LocalReplies.notRun(NotRunReason.DEADLINE, Duration.ofMillis(1));
        }
        if (entry.route().kind() == RequestKind.BOOKING) {
            return bookings.map(served -> served.handle(request, course, dependencies))
                    .orElseGet(() -> LocalReplies.notRun(new RequestFault.NotReady()));
        }
        return forward(request, course);
    }

    private Response forward(InboundRequest request, RoutedRequest course) throws IOException {
        RequestExecution run = new RequestExecution(course, dependencies);
        request.onPeerDisconnect(run::callerDisconnected);
        return switch (run.run()) {
            case ExecutionResult.Responded delivered -> {
                request.onPeerDisconnect(delivered.response().upstreamResponse()::abort);
                yield toResponse(delivered.response());
            }
            case ExecutionResult.GivenUp givenUp ->
                givenUp.failureResponse()
                        .map(failure -> LocalReplies.targetFailure(failure, givenUp.finalAnswer()))
                        .orElseGet(() -> LocalReplies.givenUp(givenUp.finalAnswer(), givenUp.lastNotRunReason()));
        };
    }

    private static Response toResponse(AttemptResponse answer) {
        UpstreamResponse upstream = answer.upstreamResponse();
        return Response.of(
                        upstream.status(),
                        HeaderValues.forwardable(upstream.headers()),
                        new Response.Body.Streamed(upstream.length(), answer))
                .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text());
    }
}
