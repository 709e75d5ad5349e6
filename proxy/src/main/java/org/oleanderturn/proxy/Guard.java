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
 * Admits requests from entries to the local target and forwards them to it.
 *
 * <p>Invariants: outcome "not run" is reported only for a request that the target did not run; a booking is sent to the
 * target at most once per claim; no request is sent while the target drains. Thread safe.
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
    private final LongSupplier clock;
    private final Cache<String, Boolean> sentClaims =
            Caffeine.newBuilder().expireAfterWrite(CLAIM_RETENTION).build();

    private Guard(
            Address target,
            ServiceName service,
            AdmissionController admission,
            CrashQuarantine quarantine,
            UpstreamClient client,
            TargetMonitor monitor,
            LongSupplier clock) {
        this.target = target;
        this.service = service;
        this.admission = admission;
        this.quarantine = quarantine;
        this.client = client;
        this.monitor = monitor;
        this.clock = clock;
    }

    /**
     * Returns the guard of the target at the given address.
     *
     * @param service the service that the target provides; requests for other services are rejected
     * @param clock monotonic time in nanoseconds
     */
    public static Guard of(
            Address target,
            ServiceName service,
            AdmissionController admission,
            CrashQuarantine quarantine,
            UpstreamClient client,
            TargetMonitor monitor,
            LongSupplier clock) {
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(admission, "admission is null");
        Objects.requireNonNull(quarantine, "quarantine is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(monitor, "monitor is null");
        Objects.requireNonNull(clock, "clock is null");
        return new Guard(target, service, admission, quarantine, client, monitor, clock);
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        Either<RequestFault, GuardedRequest> parsed = GuardedRequest.parse(request, clock);
        if (parsed.isLeft()) {
            return LocalReplies.notRun(parsed.getLeft());
        }
        GuardedRequest guardedRequest = parsed.get();
        if (!guardedRequest.service().equals(service)) {
            return LocalReplies.notRun(new RequestFault.WrongService());
        }
        return admit(request, guardedRequest);
    }

    // -- admission

    private Response admit(InboundRequest request, GuardedRequest guardedRequest) throws IOException {
        QuarantineStatus quarantineStatus = quarantine.status(guardedRequest.fingerprint());
        if (quarantineStatus instanceof QuarantineStatus.Quarantined quarantined) {
            return LocalReplies.notRun(NotRunReason.QUARANTINED, quarantined.retryAfter());
        }
        boolean isExclusive = guardedRequest.isSuspect() || quarantineStatus instanceof QuarantineStatus.Suspect;
        long deadline = guardedRequest.deadline().deadlineNanoseconds();
        AdmissionRequest admissionRequest = isExclusive
                ? AdmissionRequest.exclusive(guardedRequest.kind(), deadline)
                : AdmissionRequest.of(guardedRequest.kind(), deadline);
        Cancellation cancellation = Cancellation.create();
        request.onPeerDisconnect(cancellation::cancel);
        return switch (awaitDecision(admission.submit(admissionRequest), cancellation)) {
            case AdmissionDecision.Refused refused -> LocalReplies.notRun(refused.reason(), refused.retryAfter());
            case AdmissionDecision.Admitted admitted ->
                run(request, guardedRequest, admitted.permit(), isExclusive, cancellation);
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
        long queueTimeout = Math.max(0, ticket.queueDeadlineNanoseconds() - clock.getAsLong());
        try {
            return ticket.decision()
                    .copy()
                    .orTimeout(queueTimeout, TimeUnit.NANOSECONDS)
                    .join();
        } catch (CompletionException timeout) {
            admission.expire();
            ticket.cancel();
            return ticket.decision().join();
        }
    }

    // -- execution

    private Response run(
            InboundRequest request,
            GuardedRequest guardedRequest,
            Permit permit,
            boolean isExclusive,
            Cancellation cancellation)
            throws IOException {
        TargetExecution execution =
                TargetExecution.begin(guardedRequest.fingerprint(), isExclusive, permit, quarantine);
        try {
            Optional<byte[]> body =
                    request.readBody(BODY_LIMIT_BYTES, guardedRequest.deadline().remaining());
            request.onPeerDisconnect(cancellation::cancel);
            if (body.isEmpty()) {
                execution.end(RunOutcome.CANCELLED);
                return LocalReplies.notRun(new RequestFault.BodyTooLarge(BODY_LIMIT_BYTES));
            }
            if (guardedRequest.deadline().isExpired() || cancellation.isCancelled()) {
                execution.end(RunOutcome.CANCELLED);
                return LocalReplies.notRun(NotRunReason.DEADLINE, Duration.ofMillis(1));
            }
            if (isDuplicateClaim(guardedRequest)) {
                execution.end(RunOutcome.CANCELLED);
                return LocalReplies.unknown(UnknownReason.DUPLICATE_CLAIM, Optional.empty());
            }
            return send(guardedRequest, body.get(), execution, cancellation);
        } catch (IOException | RuntimeException cause) {
            execution.end(RunOutcome.CANCELLED);
            throw cause;
        }
    }

    private boolean isDuplicateClaim(GuardedRequest guardedRequest) {
        return guardedRequest
                .claim()
                .map(claim -> sentClaims.asMap().putIfAbsent(claim, Boolean.TRUE) != null)
                .orElse(false);
    }

    private Response send(
            GuardedRequest guardedRequest, byte[] body, TargetExecution execution, Cancellation cancellation) {
        OutboundRequest targetRequest = guardedRequest.toTarget(body, CONNECT_TIMEOUT);
        Either<UpstreamFailure, UpstreamResponse> result = client.send(target, targetRequest, cancellation);
        return result.fold(
                failure -> toFailureResponse(failure, guardedRequest, execution),
                response -> toResponse(response, guardedRequest, execution, cancellation));
    }

    private Response toResponse(
            UpstreamResponse response,
            GuardedRequest guardedRequest,
            TargetExecution execution,
            Cancellation cancellation) {
        boolean isShed = response.header(ProxyHeaders.OUTCOME)
                .flatMap(RequestOutcome::parse)
                .filter(outcome -> outcome == RequestOutcome.NOT_RUN)
                .isPresent();
        if (isShed) {
            response.close();
            guardedRequest.claim().ifPresent(sentClaims::invalidate);
            execution.end(RunOutcome.SHED);
            return LocalReplies.notRun(NotRunReason.TARGET_SHED, HeaderValues.retryAfter(response.headers()));
        }
        return Response.of(
                        response.status(),
                        HeaderValues.forwardable(response.headers()),
                        new Response.Body.Streamed(
                                response.length(), new TargetResponse(response, execution, monitor, cancellation)))
                .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text());
    }

    private Response toFailureResponse(
            UpstreamFailure failure, GuardedRequest guardedRequest, TargetExecution execution) {
        return switch (failure) {
            case UpstreamFailure.NotSent _ -> {
                guardedRequest.claim().ifPresent(sentClaims::invalidate);
                boolean hasTargetCrashed = monitor.checkAfterConnectionLoss();
                execution.end(hasTargetCrashed ? RunOutcome.TARGET_CRASHED : RunOutcome.SHED);
                yield LocalReplies.notRun(NotRunReason.TARGET_DOWN, TARGET_DOWN_RETRY_AFTER);
            }
            case UpstreamFailure.ResponseLost _ -> {
                boolean hasTargetCrashed = monitor.checkAfterConnectionLoss();
                execution.end(hasTargetCrashed ? RunOutcome.TARGET_CRASHED : RunOutcome.FAILED);
                UnknownReason reason = hasTargetCrashed ? UnknownReason.TARGET_DIED : UnknownReason.ANSWER_LOST;
                yield LocalReplies.unknown(reason, Optional.empty());
            }
            case UpstreamFailure.LimitExceeded _ -> {
                execution.end(RunOutcome.FAILED);
                yield LocalReplies.unknown(UnknownReason.ANSWER_LOST, Optional.empty());
            }
            case UpstreamFailure.TimedOut _ -> {
                execution.end(RunOutcome.CANCELLED);
                yield LocalReplies.unknown(UnknownReason.TIMED_OUT, Optional.empty());
            }
            case UpstreamFailure.Cancelled _ -> {
                execution.end(RunOutcome.CANCELLED);
                yield LocalReplies.unknown(UnknownReason.ANSWER_LOST, Optional.empty());
            }
        };
    }
}
