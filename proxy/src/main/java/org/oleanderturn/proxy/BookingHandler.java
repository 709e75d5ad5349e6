package org.oleanderturn.proxy;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.claims.BookingClaims;
import org.oleanderturn.claims.ClaimDecision;
import org.oleanderturn.claims.ClaimHandle;
import org.oleanderturn.claims.IdempotencyKey;
import org.oleanderturn.claims.RecordedAnswer;
import org.oleanderturn.model.Digest;
import org.oleanderturn.traffic.LocalReply;
import org.oleanderturn.traffic.NotRunReason;

/**
 * Serves bookings, each at most once for its idempotency key.
 *
 * <p>Invariants: a booking is sent only under a claim that is durable; the claim is released only when no target can have
 * run it; the recorded answer is the whole answer. Thread safe.
 */
public final class BookingHandler {
    private static final int RESPONSE_LIMIT_BYTES = 1_000_000;
    private static final Duration RESPONSE_LOST_RETRY_AFTER = Duration.ofSeconds(1);

    private final BookingClaims claims;

    private BookingHandler(BookingClaims claims) {
        this.claims = claims;
    }

    /** Returns the bookings that the given claims guard. */
    public static BookingHandler of(BookingClaims claims) {
        return new BookingHandler(Objects.requireNonNull(claims, "claims is null"));
    }

    Response handle(InboundRequest request, RoutedRequest course, EntryDependencies parts) {
        Optional<String> text = request.header(ProxyHeaders.IDEMPOTENCY_KEY);
        if (text.isEmpty()) {
            return LocalReplies.notRun(new RequestFault.MissingIdempotencyKey());
        }
        Either<IdempotencyKey.Fault, IdempotencyKey> key =
                IdempotencyKey.parse(course.routingEntry().service().name(), text.get());
        if (key.isLeft()) {
            return LocalReplies.notRun(new RequestFault.MalformedIdempotencyKey());
        }
        Digest fingerprint = Digest.of(course.fingerprint().value());
        return switch (claims.claim(key.get(), fingerprint)) {
            case ClaimDecision.Granted granted -> run(course, parts, granted.handle());
            case ClaimDecision.AlreadyFinished finished -> replay(finished.answer());
            case ClaimDecision.AlreadyFinishedUnrecorded finished ->
                Response.text(finished.status(), "text/plain", "")
                        .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text())
                        .withHeader(ProxyHeaders.REASON, "ANSWER_NOT_RECORDED");
            case ClaimDecision.InProgressOrUnknown unknown ->
                LocalReplies.unknown(UnknownReason.CLAIM_IN_PROGRESS, unknown.retryAfter());
            case ClaimDecision.KeyReused _ -> LocalReplies.notRun(new RequestFault.IdempotencyKeyReused());
            case ClaimDecision.NotRun notRun ->
                LocalReplies.notRun(NotRunReason.CLAIM_UNAVAILABLE, notRun.retryAfter());
        };
    }

    // -- run

    private Response run(RoutedRequest course, EntryDependencies parts, ClaimHandle handle) {
        if (course.deadline().isExpired() || !claims.start(handle)) {
            var _ = claims.release(handle);
            return LocalReplies.notRun(NotRunReason.DEADLINE, Duration.ofMillis(1));
        }
        RequestExecution run =
                new RequestExecution(course.withClaim(handle.token().text()), parts);
        return switch (run.run()) {
            case ExecutionResult.Responded delivered -> recordResponse(handle, delivered.response());
            case ExecutionResult.GivenUp givenUp -> giveUp(handle, givenUp);
        };
    }

    private Response recordResponse(ClaimHandle handle, AttemptResponse answer) {
        try (answer) {
            UpstreamResponse upstream = answer.upstreamResponse();
            Optional<byte[]> body = answer.readBody(RESPONSE_LIMIT_BYTES);
            if (body.isEmpty()) {
                return LocalReplies.unknown(UnknownReason.ANSWER_LOST, Optional.empty());
            }
            List<HeaderField> headers = HeaderValues.forwardable(upstream.headers());
            var _ = claims.complete(handle, toRecordedAnswer(upstream.status(), headers, body.get()));
            return Response.of(upstream.status(), headers, new Response.Body.Buffered(body.get()))
                    .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text());
        } catch (IOException cause) {
            return LocalReplies.unknown(UnknownReason.ANSWER_LOST, Optional.of(RESPONSE_LOST_RETRY_AFTER));
        }
    }

    private Response giveUp(ClaimHandle handle, ExecutionResult.GivenUp givenUp) {
        if (givenUp.finalAnswer().status() == LocalReply.Status.NOT_RUN) {
            var _ = claims.release(handle);
        }
        return LocalReplies.givenUp(givenUp.finalAnswer(), givenUp.lastNotRunReason());
    }

    // -- recorded answers

    private static RecordedAnswer toRecordedAnswer(int status, List<HeaderField> headers, byte[] body) {
        List<RecordedAnswer.Header> kept = new ArrayList<>();
        headers.forEach(header -> kept.add(new RecordedAnswer.Header(header.name(), header.value())));
        return RecordedAnswer.of(status, kept, body);
    }

    private static Response replay(RecordedAnswer answer) {
        List<HeaderField> headers = new ArrayList<>();
        answer.headers().forEach(header -> headers.add(HeaderField.of(header.name(), header.value())));
        return Response.of(answer.status(), headers, new Response.Body.Buffered(answer.body()))
                .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text())
                .withHeader(ProxyHeaders.REPLAYED, true);
    }
}
