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
    private static final Duration CLAIM_MEMORY = Duration.ofMinutes(10);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration TARGET_DOWN_RETRY_AFTER = Duration.ofMillis(200);

    private final Address target;
    private final ServiceName service;
    private final AdmissionController admission;
    private final CrashQuarantine quarantine;
    private final UpstreamClient client;
    private final TargetMonitor monitor;
    private final LongSupplier nanoseconds;
    private final Cache<String, Boolean> claimsSent =
            Caffeine.newBuilder().expireAfterWrite(CLAIM_MEMORY).build();

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
    public Answer handle(InboundRequest request) throws IOException {
        Either<RequestFault, GuardedRequest> parsed = GuardedRequest.parse(request, nanoseconds);
        if (parsed.isLeft()) {
            return Refusals.notRun(parsed.getLeft());
        }
        GuardedRequest guarded = parsed.get();
        if (!guarded.service().equals(service)) {
            return Refusals.notRun(new RequestFault.WrongService());
        }
        return admit(request, guarded);
    }

    // -- admission

    private Answer admit(InboundRequest request, GuardedRequest guarded) throws IOException {
        QuarantineStatus standing = quarantine.status(guarded.fingerprint());
        if (standing instanceof QuarantineStatus.Quarantined convicted) {
            return Refusals.notRun(NotRunReason.QUARANTINED, convicted.retryAfter());
        }
        boolean isAlone = guarded.isSuspect() || standing instanceof QuarantineStatus.Suspect;
        long deadline = guarded.deadline().deadlineNanoseconds();
        AdmissionRequest work = isAlone
                ? AdmissionRequest.exclusive(guarded.kind(), deadline)
                : AdmissionRequest.of(guarded.kind(), deadline);
        Cancellation cancellation = Cancellation.create();
        request.onPeerGone(cancellation::cancel);
        return switch (settle(admission.submit(work), cancellation)) {
            case AdmissionDecision.Refused refused -> Refusals.notRun(refused.reason(), refused.retryAfter());
            case AdmissionDecision.Admitted admitted -> run(request, guarded, admitted.permit(), isAlone, cancellation);
        };
    }

    private AdmissionDecision.Settled settle(AdmissionDecision decision, Cancellation cancellation) {
        return switch (decision) {
            case AdmissionDecision.Settled settled -> settled;
            case AdmissionDecision.Queued queued -> await(queued.ticket(), cancellation);
        };
    }

    private AdmissionDecision.Settled await(AdmissionTicket ticket, Cancellation cancellation) {
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

    private Answer run(
            InboundRequest request, GuardedRequest guarded, Permit permit, boolean isAlone, Cancellation cancellation)
            throws IOException {
        GuardedRun run = GuardedRun.begin(guarded.fingerprint(), isAlone, permit, quarantine);
        try {
            Optional<byte[]> body =
                    request.readBody(BODY_LIMIT_BYTES, guarded.deadline().remaining());
            request.onPeerGone(cancellation::cancel);
            if (body.isEmpty()) {
                run.end(RunOutcome.CANCELLED);
                return Refusals.notRun(new RequestFault.BodyTooLarge(BODY_LIMIT_BYTES));
            }
            if (guarded.deadline().isExpired() || cancellation.isCancelled()) {
                run.end(RunOutcome.CANCELLED);
                return Refusals.notRun(NotRunReason.DEADLINE, Duration.ofMillis(1));
            }
            if (isRepeated(guarded)) {
                run.end(RunOutcome.CANCELLED);
                return Refusals.unknown(UnknownReason.DUPLICATE_CLAIM, Optional.empty());
            }
            return send(guarded, body.get(), run, cancellation);
        } catch (IOException | RuntimeException cause) {
            run.end(RunOutcome.CANCELLED);
            throw cause;
        }
    }

    private boolean isRepeated(GuardedRequest guarded) {
        return guarded.claim()
                .map(claim -> claimsSent.asMap().putIfAbsent(claim, Boolean.TRUE) != null)
                .orElse(false);
    }

    private Answer send(GuardedRequest guarded, byte[] body, GuardedRun run, Cancellation cancellation) {
        OutboundRequest outbound = guarded.toTarget(body, CONNECT_TIMEOUT);
        Either<ForwardFailure, UpstreamAnswer> answer = client.send(target, outbound, cancellation);
        return answer.fold(
                failure -> failed(failure, guarded, run), received -> answered(received, guarded, run, cancellation));
    }

    private Answer answered(
            UpstreamAnswer received, GuardedRequest guarded, GuardedRun run, Cancellation cancellation) {
        boolean isShed = received.header(ProxyHeaders.OUTCOME)
                .flatMap(RequestOutcome::parse)
                .filter(outcome -> outcome == RequestOutcome.NOT_RUN)
                .isPresent();
        if (isShed) {
            received.close();
            guarded.claim().ifPresent(claimsSent::invalidate);
            run.end(RunOutcome.SHED);
            return Refusals.notRun(NotRunReason.TARGET_SHED, HeaderValues.retryAfter(received.headers()));
        }
        return Answer.of(
                        received.status(),
                        HeaderValues.forwarded(received.headers()),
                        new Answer.Body.Streamed(
                                received.length(), new GuardedAnswer(received, run, monitor, cancellation)))
                .withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text());
    }

    private Answer failed(ForwardFailure failure, GuardedRequest guarded, GuardedRun run) {
        return switch (failure) {
            case ForwardFailure.NotSent _ -> {
                guarded.claim().ifPresent(claimsSent::invalidate);
                boolean isDead = monitor.checkBroken();
                run.end(isDead ? RunOutcome.TARGET_CRASHED : RunOutcome.SHED);
                yield Refusals.notRun(NotRunReason.TARGET_DOWN, TARGET_DOWN_RETRY_AFTER);
            }
            case ForwardFailure.AnswerLost _ -> {
                boolean isDead = monitor.checkBroken();
                run.end(isDead ? RunOutcome.TARGET_CRASHED : RunOutcome.FAILED);
                UnknownReason reason = isDead ? UnknownReason.TARGET_DIED : UnknownReason.ANSWER_LOST;
                yield Refusals.unknown(reason, Optional.empty());
            }
            case ForwardFailure.TimedOut _ -> {
                run.end(RunOutcome.CANCELLED);
                yield Refusals.unknown(UnknownReason.TIMED_OUT, Optional.empty());
            }
            case ForwardFailure.Cancelled _ -> {
                run.end(RunOutcome.CANCELLED);
                yield Refusals.unknown(UnknownReason.ANSWER_LOST, Optional.empty());
            }
        };
    }
}
