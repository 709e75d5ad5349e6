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
 * Runs bookings, each at most once per idempotency key, and replays the recorded response to repeated bookings.
 *
 * <p>Invariants: a booking is sent only after its claim has been stored; the claim is released only if no target can
 * have run the booking; only complete responses are recorded. Thread safe.
 */
public final class BookingHandler {
    private static final int RESPONSE_LIMIT_BYTES = 1_000_000;
    private static final Duration RESPONSE_LOST_RETRY_AFTER = Duration.ofSeconds(1);

    private final BookingClaims claims;

    private BookingHandler(BookingClaims claims) {
        this.claims = claims;
    }

    /** Returns a handler that claims idempotency keys and records responses through the given claims. */
    public static BookingHandler of(BookingClaims claims) {
        return new BookingHandler(Objects.requireNonNull(claims, "claims is null"));
    }

    Response handle(InboundRequest request, RoutedRequest routed, EntryDependencies dependencies) {
        Optional<String> keyText = request.header(ProxyHeaders.IDEMPOTENCY_KEY);
        if (keyText.isEmpty()) {
            return LocalReplies.notRun(new RequestFault.MissingIdempotencyKey());
        }
        Either<IdempotencyKey.Fault, IdempotencyKey> key =
                IdempotencyKey.parse(routed.routingEntry().service().name(), keyText.get());
        if (key.isLeft()) {
            return LocalReplies.notRun(new RequestFault.MalformedIdempotencyKey());
        }
        Digest fingerprint = Digest.of(routed.fingerprint().value());
        return switch (claims.claim(key.get(), fingerprint)) {
            case ClaimDecision.Granted granted -> run(routed, dependencies, granted.handle());
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

    // -- execution

    private Response run(RoutedRequest routed, EntryDependencies dependencies, ClaimHandle handle) {
        if (routed.deadline().isExpired() || !claims.start(handle)) {
            var _ = claims.release(handle);
            return LocalReplies.notRun(NotRunReason.DEADLINE, Duration.ofMillis(1));
        }
        RequestExecution execution =
                new RequestExecution(routed.withClaim(handle.token().text()), dependencies);
        return switch (execution.run()) {
            case ExecutionResult.Responded responded -> recordResponse(handle, responded.response());
            case ExecutionResult.GivenUp givenUp -> giveUp(handle, givenUp);
        };
    }

    private Response recordResponse(ClaimHandle handle, AttemptResponse response) {
        try (response) {
            UpstreamResponse upstream = response.upstreamResponse();
            Optional<byte[]> body = response.readBody(RESPONSE_LIMIT_BYTES);
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
        if (givenUp.localReply().status() == LocalReply.Status.NOT_RUN) {
            var _ = claims.release(handle);
        }
        return LocalReplies.givenUp(givenUp.localReply(), givenUp.lastNotRunReason());
    }

    // -- recorded responses

    private static RecordedAnswer toRecordedAnswer(int status, List<HeaderField> headers, byte[] body) {
        List<RecordedAnswer.Header> recordedHeaders = new ArrayList<>();
        headers.forEach(header -> recordedHeaders.add(new RecordedAnswer.Header(header.name(), header.value())));
        return RecordedAnswer.of(status, recordedHeaders, body);
    }

    private static Response replay(RecordedAnswer recorded) {
        List<HeaderField> headers = new ArrayList<>();
        recorded.headers().forEach(header -> headers.add(HeaderField.of(header.name(), header.value())));
        return Response.of(recorded.status(), headers, new Response.Body.Buffered(recorded.body()))
                .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text())
                .withHeader(ProxyHeaders.REPLAYED, true);
    }
}
