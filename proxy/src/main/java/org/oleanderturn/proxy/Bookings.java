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
public final class Bookings {
    private static final int ANSWER_LIMIT_BYTES = 1_000_000;
    private static final Duration LOST_RETRY_AFTER = Duration.ofSeconds(1);

    private final BookingClaims claims;

    private Bookings(BookingClaims claims) {
        this.claims = claims;
    }

    /** Returns the bookings that the given claims guard. */
    public static Bookings of(BookingClaims claims) {
        return new Bookings(Objects.requireNonNull(claims, "claims is null"));
    }

    Answer serve(InboundRequest request, CourseRequest course, EntryParts parts) {
        Optional<String> text = request.header(ProxyHeaders.IDEMPOTENCY_KEY);
        if (text.isEmpty()) {
            return Refusals.notRun(new RequestFault.MissingIdempotencyKey());
        }
        Either<IdempotencyKey.Fault, IdempotencyKey> key =
                IdempotencyKey.parse(course.entry().service().name(), text.get());
        if (key.isLeft()) {
            return Refusals.notRun(new RequestFault.MalformedIdempotencyKey());
        }
        Digest fingerprint = Digest.of(course.fingerprint().value());
        return switch (claims.claim(key.get(), fingerprint)) {
            case ClaimDecision.Granted granted -> run(course, parts, granted.handle());
            case ClaimDecision.AlreadyFinished finished -> replay(finished.answer());
            case ClaimDecision.AlreadyFinishedUnrecorded finished ->
                Answer.text(finished.status(), "text/plain", "")
                        .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text())
                        .withHeader(ProxyHeaders.REASON, "ANSWER_NOT_RECORDED");
            case ClaimDecision.InProgressOrUnknown unknown ->
                Refusals.unknown(UnknownReason.CLAIM_IN_PROGRESS, unknown.retryAfter());
            case ClaimDecision.KeyReused _ -> Refusals.notRun(new RequestFault.IdempotencyKeyReused());
            case ClaimDecision.NotRun notRun -> Refusals.notRun(NotRunReason.CLAIM_UNAVAILABLE, notRun.retryAfter());
        };
    }

    // -- run

    private Answer run(CourseRequest course, EntryParts parts, ClaimHandle handle) {
        if (course.deadline().isExpired() || !claims.start(handle)) {
            var _ = claims.release(handle);
            return Refusals.notRun(NotRunReason.DEADLINE, Duration.ofMillis(1));
        }
        RequestCourse run = new RequestCourse(course.withClaim(handle.token().text()), parts);
        return switch (run.run()) {
            case CourseResult.Delivered delivered -> finish(handle, delivered.answer());
            case CourseResult.GivenUp givenUp -> giveUp(handle, givenUp);
        };
    }

    private Answer finish(ClaimHandle handle, AttemptAnswer answer) {
        try (answer) {
            UpstreamAnswer upstream = answer.upstream();
            Optional<byte[]> body = answer.readBody(ANSWER_LIMIT_BYTES);
            if (body.isEmpty()) {
                return Refusals.unknown(UnknownReason.ANSWER_LOST, Optional.empty());
            }
            List<HeaderField> headers = HeaderValues.forwarded(upstream.headers());
            var _ = claims.complete(handle, recorded(upstream.status(), headers, body.get()));
            return Answer.of(upstream.status(), headers, new Answer.Body.Whole(body.get()))
                    .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text());
        } catch (IOException cause) {
            return Refusals.unknown(UnknownReason.ANSWER_LOST, Optional.of(LOST_RETRY_AFTER));
        }
    }

    private Answer giveUp(ClaimHandle handle, CourseResult.GivenUp givenUp) {
        if (givenUp.answer().status() == LocalReply.Status.NOT_RUN) {
            var _ = claims.release(handle);
        }
        return Refusals.finalAnswer(givenUp.answer(), givenUp.lastReason());
    }

    // -- recorded answers

    private static RecordedAnswer recorded(int status, List<HeaderField> headers, byte[] body) {
        List<RecordedAnswer.Header> kept = new ArrayList<>();
        headers.forEach(header -> kept.add(new RecordedAnswer.Header(header.name(), header.value())));
        return RecordedAnswer.of(status, kept, body);
    }

    private static Answer replay(RecordedAnswer answer) {
        List<HeaderField> headers = new ArrayList<>();
        answer.headers().forEach(header -> headers.add(HeaderField.of(header.name(), header.value())));
        return Answer.of(answer.status(), headers, new Answer.Body.Whole(answer.body()))
                .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text())
                .withHeader(ProxyHeaders.REPLAYED, true);
    }
}
