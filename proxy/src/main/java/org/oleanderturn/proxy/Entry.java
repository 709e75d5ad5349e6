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
    private final EntryParts parts;
    private final Optional<Bookings> bookings;
    private final BodyBudget bodies;

    private Entry(
            Supplier<RoutingTable> tables,
            BooleanSupplier isReady,
            EntryParts parts,
            Optional<Bookings> bookings,
            BodyBudget bodies) {
        this.tables = tables;
        this.isReady = isReady;
        this.parts = parts;
        this.bookings = bookings;
        this.bodies = bodies;
    }

    /**
     * Returns an entry.
     *
     * @param tables gives the routing table in force
     * @param isReady says whether the node holds a configuration that it may serve
     */
    public static Entry of(
            Supplier<RoutingTable> tables, BooleanSupplier isReady, EntryParts parts, Bookings bookings) {
        Objects.requireNonNull(tables, "tables is null");
        Objects.requireNonNull(isReady, "isReady is null");
        Objects.requireNonNull(parts, "parts is null");
        Objects.requireNonNull(bookings, "bookings is null");
        return new Entry(tables, isReady, parts, Optional.of(bookings), BodyBudget.ofHeap());
    }

    /** Returns an entry that is always ready and refuses bookings. */
    public static Entry ofLookups(Supplier<RoutingTable> tables, EntryParts parts) {
        Objects.requireNonNull(tables, "tables is null");
        Objects.requireNonNull(parts, "parts is null");
        return new Entry(tables, () -> true, parts, Optional.empty(), BodyBudget.ofHeap());
    }

    @Override
    public Answer handle(InboundRequest request) throws IOException {
        if (!isReady.getAsBoolean()) {
            return Refusals.notRun(new RequestFault.NotReady());
        }
        RoutingTable table = tables.get();
        Optional<RoutingTable.Entry> entry = table.find(request.method(), request.path());
        if (entry.isEmpty()) {
            return Refusals.notRun(new RequestFault.NoRoute()).withHeader(ProxyHeaders.VERSION, table.version());
        }
        return reserve(request, entry.get()).withHeader(ProxyHeaders.VERSION, table.version());
    }

    /** Returns this entry with another room for bodies. */
    Entry withBodies(BodyBudget other) {
        return new Entry(tables, isReady, parts, bookings, other);
    }

    private Answer reserve(InboundRequest request, RoutingTable.Entry entry) throws IOException {
        long bytes = EntryRequest.bodyBytes(request);
        if (!bodies.tryReserve(bytes)) {
            return Refusals.notRun(new RequestFault.BodiesTooLarge(bodies.limitBytes()));
        }
        try {
            return serve(request, entry);
        } finally {
            bodies.release(bytes);
        }
    }

    private Answer serve(InboundRequest request, RoutingTable.Entry entry) throws IOException {
        Either<RequestFault, CourseRequest> read = EntryRequest.read(request, entry, parts.nanoseconds());
        if (read.isLeft()) {
            return Refusals.notRun(read.getLeft());
        }
        CourseRequest course = read.get();
        if (parts.quarantine().status(course.fingerprint()) instanceof QuarantineStatus.Quarantined convicted) {
            return Refusals.notRun(NotRunReason.QUARANTINED, convicted.retryAfter());
        }
        if (course.deadline().isExpired()) {
            return Refusals.notRun(NotRunReason.DEADLINE, Duration.ofMillis(1));
        }
        if (entry.route().kind() == RequestKind.BOOKING) {
            return bookings.map(served -> served.serve(request, course, parts))
                    .orElseGet(() -> Refusals.notRun(new RequestFault.NotReady()));
        }
        return forward(request, course);
    }

    private Answer forward(InboundRequest request, CourseRequest course) throws IOException {
        RequestCourse run = new RequestCourse(course, parts);
        request.onPeerGone(run::callerGone);
        return switch (run.run()) {
            case CourseResult.Delivered delivered -> {
                request.onPeerGone(delivered.answer().upstream()::abort);
                yield delivered(delivered.answer());
            }
            case CourseResult.GivenUp givenUp ->
                givenUp.failure()
                        .map(failure -> Refusals.failed(failure, givenUp.answer()))
                        .orElseGet(() -> Refusals.finalAnswer(givenUp.answer(), givenUp.lastReason()));
        };
    }

    private static Answer delivered(AttemptAnswer answer) {
        UpstreamAnswer upstream = answer.upstream();
        return Answer.of(
                        upstream.status(),
                        HeaderValues.forwarded(upstream.headers()),
                        new Answer.Body.Streamed(upstream.length(), answer))
                .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text());
    }
}
