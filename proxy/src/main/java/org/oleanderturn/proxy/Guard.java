package org.oleanderturn.proxy;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.AdmissionController;
import org.oleanderturn.traffic.AdmissionDecision;
import org.oleanderturn.traffic.AdmissionRequest;
import org.oleanderturn.traffic.AdmissionTicket;
import org.oleanderturn.traffic.CrashQuarantine;
import org.oleanderturn.traffic.NotRunReason;
import org.oleanderturn.traffic.Permit;
import org.oleanderturn.traffic.QuarantineStatus;
import org.oleanderturn.traffic.RunOutcome;

/**
 * Answers other nodes' requests for the local target.
 *
 * <p>Invariants: "not run" is said only of a request that was never sent to the target; a booking is sent under one claim
 * at most once; no request is sent while the target drains. Thread safe.
 */
public final class Guard implements RequestHandler {
    private static final int BODY_LIMIT_BYTES = 1_000_000;
    private static final Duration CLAIM_RETENTION = Duration.ofMinutes(10);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration TARGET_DOWN_RETRY_AFTER = Duration.ofMillis(200);

    private final Address target;
    private final ServiceName service;
    private final AdmissionController admission;
    private final CrashQuarantine quarantine;
    private final UpstreamClient client;
    private final TargetMonitor monitor;
    private final LongSupplier nanoseconds;
    private final Cache<String, Boolean> sentClaims =
            Caffeine.newBuilder().expireAfterWrite(CLAIM_RETENTION).build();

    private Guard(
            Address target,
            ServiceName service,
            AdmissionController admission,
            CrashQuarantine quarantine,
            UpstreamClient client,
            TargetMonitor monitor,
            LongSupplier nanoseconds) {
        this.target = target;
        this.service = service;
        this.admission = admission;
        this.quarantine = quarantine;
        this.client = client;
        this.monitor = monitor;
        this.nanoseconds = nanoseconds;
    }

    /** Returns the guard of the target at the given address. */
    public static Guard of(
            Address target,
            ServiceName service,
            AdmissionController admission,
            CrashQuarantine quarantine,
            UpstreamClient client,
            TargetMonitor monitor,
            LongSupplier nanoseconds) {
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(admission, "admission is null");
        Objects.requireNonNull(quarantine, "quarantine is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(monitor, "monitor is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        return new Guard(target, service, admission, quarantine, client, monitor, nanoseconds);
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        Either<RequestFault, GuardedRequest> parsed = GuardedRequest.parse(request, nanoseconds);
        if (parsed.isLeft()) {
            return LocalReplies.notRun(parsed.getLeft());
        }
        GuardedRequest guarded = parsed.get();
        if (!guarded.service().equals(service)) {
            return LocalReplies.notRun(new RequestFault.WrongService());
        }
        return admit(request, guarded);
    }

    // -- admission

    private Response admit(InboundRequest request, GuardedRequest guarded) throws IOException {
        QuarantineStatus standing = quarantine.status(guarded.fingerprint());
        if (standing instanceof QuarantineStatus.Quarantined convicted) {
            return LocalReplies.notRun(NotRunReason.QUARANTINED, convicted.retryAfter());
        }
        boolean isAlone = guarded.isSuspect() || standing instanceof QuarantineStatus.Suspect;
        long deadline = guarded.deadline().deadlineNanoseconds();
        AdmissionRequest work = isAlone
                ? AdmissionRequest.exclusive(guarded.kind(), deadline)
                : AdmissionRequest.of(guarded.kind(), deadline);
        Cancellation cancellation = Cancellation.create();
        request.onPeerDisconnect(cancellation::cancel);
        return switch (awaitDecision(admission.submit(work), cancellation)) {
            case AdmissionDecision.Refused refused -> LocalReplies.notRun(refused.reason(), refused.retryAfter());
            case AdmissionDecision.Admitted admitted -> run(request, guarded, admitted.permit(), isAlone, cancellation);
        };
    }

    private AdmissionDecision.Settled awaitDecision(AdmissionDecision decision, Cancellation cancellation) {
        return switch (decision) {
            case AdmissionDecision.Settled settled -> settled;
            case AdmissionDecision.Queued queued -> awaitTicket(queued.ticket(), cancellation);
        };
    }

    private AdmissionDecision.Settled awaitTicket(AdmissionTicket ticket, Cancellation cancellation) {
        cancellation.onCancel(ticket::cancel);
        long patience = Math.max(0, ticket.queueDeadlineNanoseconds() - nanoseconds.getAsLong());
        try {
            return ticket.decision()
                    .copy()
                    .orTimeout(patience, TimeUnit.NANOSECONDS)
                    .join();
        } catch (CompletionException timeout) {
            admission.expire();
            ticket.cancel();
            return ticket.decision().join();
        }
    }

    // -- run

    private Response run(
            InboundRequest request, GuardedRequest guarded, Permit permit, boolean isAlone, Cancellation cancellation)
            throws IOException {
        TargetExecution run = TargetExecution.begin(guarded.fingerprint(), isAlone, permit, quarantine);
        try {
            Optional<byte[]> body =
                    request.readBody(BODY_LIMIT_BYTES, guarded.deadline().remaining());
            request.onPeerDisconnect(cancellation::cancel);
            if (body.isEmpty()) {
                run.end(RunOutcome.CANCELLED);
                return LocalReplies.notRun(new RequestFault.BodyTooLarge(BODY_LIMIT_BYTES));
            }
            if (guarded.deadline().isExpired() || cancellation.isCancelled()) {
                run.end(RunOutcome.CANCELLED);
                return LocalReplies.notRun(NotRunReason.DEADLINE, Duration.ofMillis(1));
            }
            if (isDuplicateClaim(guarded)) {
                run.end(RunOutcome.CANCELLED);
                return LocalReplies.unknown(UnknownReason.DUPLICATE_CLAIM, Optional.empty());
            }
            return send(guarded, body.get(), run, cancellation);
        } catch (IOException | RuntimeException cause) {
            run.end(RunOutcome.CANCELLED);
            throw cause;
        }
    }

    private boolean isDuplicateClaim(GuardedRequest guarded) {
        return guarded.claim()
                .map(claim -> sentClaims.asMap().putIfAbsent(claim, Boolean.TRUE) != null)
                .orElse(false);
    }

    private Response send(GuardedRequest guarded, byte[] body, TargetExecution run, Cancellation cancellation) {
        OutboundRequest outbound = guarded.toTarget(body, CONNECT_TIMEOUT);
        Either<UpstreamFailure, UpstreamResponse> answer = client.send(target, outbound, cancellation);
        return answer.fold(
                failure -> toFailureResponse(failure, guarded, run),
                received -> toResponse(received, guarded, run, cancellation));
    }

    private Response toResponse(
            UpstreamResponse received, GuardedRequest guarded, TargetExecution run, Cancellation cancellation) {
        boolean isShed = received.header(ProxyHeaders.OUTCOME)
                .flatMap(RequestOutcome::parse)
                .filter(outcome -> outcome == RequestOutcome.NOT_RUN)
                .isPresent();
        if (isShed) {
            received.close();
            guarded.claim().ifPresent(sentClaims::invalidate);
            run.end(RunOutcome.SHED);
            return LocalReplies.notRun(NotRunReason.TARGET_SHED, HeaderValues.retryAfter(received.headers()));
        }
        return Response.of(
                        received.status(),
                        HeaderValues.forwardable(received.headers()),
                        new Response.Body.Streamed(
                                received.length(), new TargetResponse(received, run, monitor, cancellation)))
                .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text());
    }

    private Response toFailureResponse(UpstreamFailure failure, GuardedRequest guarded, TargetExecution run) {
        return switch (failure) {
            case UpstreamFailure.NotSent _ -> {
                guarded.claim().ifPresent(sentClaims::invalidate);
                boolean isDead = monitor.checkAfterConnectionLoss();
                run.end(isDead ? RunOutcome.TARGET_CRASHED : RunOutcome.SHED);
                yield LocalReplies.notRun(NotRunReason.TARGET_DOWN, TARGET_DOWN_RETRY_AFTER);
            }
            case UpstreamFailure.ResponseLost _ -> {
                boolean isDead = monitor.checkAfterConnectionLoss();
                run.end(isDead ? RunOutcome.TARGET_CRASHED : RunOutcome.FAILED);
                UnknownReason reason = isDead ? UnknownReason.TARGET_DIED : UnknownReason.ANSWER_LOST;
                yield LocalReplies.unknown(reason, Optional.empty());
            }
            case UpstreamFailure.TimedOut _ -> {
                run.end(RunOutcome.CANCELLED);
                yield LocalReplies.unknown(UnknownReason.TIMED_OUT, Optional.empty());
            }
            case UpstreamFailure.Cancelled _ -> {
                run.end(RunOutcome.CANCELLED);
                yield LocalReplies.unknown(UnknownReason.ANSWER_LOST, Optional.empty());
            }
        };
    }
}
