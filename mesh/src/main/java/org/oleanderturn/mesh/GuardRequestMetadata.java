package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.oleanderturn.model.Names;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.HeaderValues;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.ProxyHeaders;
import org.oleanderturn.traffic.CrashSuspicion;
import org.oleanderturn.traffic.RequestSender;

/**
 * What an entry states about an attempt beside the client's request; sent as headers.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service that the request is for
 * @param caller the service on whose host the client runs
 * @param kind decides whether the request may be retried
 * @param rank the priority among waiting requests, 0 first
 * @param remaining how long the guard may take to reply
 * @param targetLatency the time, from the client's first attempt, within which a response is worth most
 * @param elapsed how long the client has waited, earlier attempts included
 * @param attempt the number of the attempt, from 1
 * @param isRepeat whether an earlier attempt may have reached a target
 * @param suspicion what the entry knows of the request, if targets have ended under it
 * @param condition what the entry knows of the guard's target, as headers state it; empty if it binds nobody
 * @param organisation the organisation that sent the request; empty for an anonymous one
 * @param key the key of the organisation that the request was admitted by; empty where the entry tells none
 */
record GuardRequestMetadata(
        ServiceName service,
        ServiceName caller,
        RequestKind kind,
        int rank,
        Duration remaining,
        Duration targetLatency,
        Duration elapsed,
        int attempt,
        boolean isRepeat,
        Optional<CrashSuspicion> suspicion,
        Optional<String> condition,
        Optional<OrganisationName> organisation,
        Optional<CheckedKey> key) {

    GuardRequestMetadata {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(caller, "caller is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(remaining, "remaining is null");
        Objects.requireNonNull(targetLatency, "targetLatency is null");
        Objects.requireNonNull(elapsed, "elapsed is null");
        Objects.requireNonNull(suspicion, "suspicion is null");
        Objects.requireNonNull(condition, "condition is null");
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(key, "key is null");
    }

    /** Decodes the headers of a request; the left side names one of the headers among which one is missing or malformed. */
    static Either<String, GuardRequestMetadata> decode(InboundRequest request) {
        List<HeaderField> headers = request.headers();
        Optional<ServiceName> service = name(headers, ProxyHeaders.SERVICE);
        Optional<ServiceName> caller = name(headers, ProxyHeaders.CALLER_SERVICE);
        Optional<RequestKind> kind =
                HeaderField.find(headers, ProxyHeaders.KIND).flatMap(RequestKind::parse);
        OptionalLong rank = HeaderValues.findNumber(headers, ProxyHeaders.RANK);
        OptionalLong attempt = HeaderValues.findNumber(headers, ProxyHeaders.ATTEMPT);
        Optional<Duration> remaining = HeaderValues.findMilliseconds(headers, ProxyHeaders.DEADLINE);
        Optional<Duration> targetLatency = HeaderValues.findMilliseconds(headers, ProxyHeaders.TARGET_LATENCY);
        if (service.isEmpty() || caller.isEmpty()) {
            return Either.left(ProxyHeaders.SERVICE);
        }
        if (kind.isEmpty() || rank.isEmpty() || attempt.isEmpty()) {
            return Either.left(ProxyHeaders.KIND);
        }
        Optional<Duration> elapsed = HeaderValues.findMilliseconds(headers, ProxyHeaders.ELAPSED);
        if (remaining.isEmpty() || targetLatency.isEmpty() || elapsed.isEmpty()) {
            return Either.left(ProxyHeaders.DEADLINE);
        }
        return Either.right(new GuardRequestMetadata(
                service.get(),
                caller.get(),
                kind.get(),
                Math.toIntExact(rank.getAsLong()),
                remaining.get(),
                targetLatency.get(),
                elapsed.get(),
                Math.toIntExact(attempt.getAsLong()),
                HeaderField.find(headers, ProxyHeaders.REPEAT).isPresent(),
                HeaderField.find(headers, ProxyHeaders.SUSPICION).flatMap(CrashSuspicion::parse),
                HeaderField.find(headers, ProxyHeaders.TARGET_CONDITION),
                HeaderField.find(headers, ProxyHeaders.ORGANISATION)
                        .filter(Names::isWellFormed)
                        .map(OrganisationName::of),
                HeaderField.find(headers, ProxyHeaders.CHECKED_KEY).flatMap(CheckedKey::parse)));
    }

    /** Returns the metadata after some time, which the request has spent. */
    GuardRequestMetadata after(Duration spent) {
        return new GuardRequestMetadata(
                service,
                caller,
                kind,
                rank,
                remaining.minus(spent),
                targetLatency,
                elapsed.plus(spent),
                attempt,
                isRepeat,
                suspicion,
                condition,
                organisation,
                key);
    }

    /** Returns whether an index shows that the organisation no longer has the key that the request was admitted by. */
    boolean isKeyRemovedBy(RouteIndex index) {
        return organisation.isPresent()
                && key.filter(checked -> checked.isRemovedBy(index, organisation.get()))
                        .isPresent();
    }

    /** Returns who sends the request, as the target is told. */
    RequestSender sender() {
        return RequestSender.of(caller, organisation);
    }

    /** Encodes the metadata as headers. */
    List<HeaderField> headers() {
        List<HeaderField> headers = new ArrayList<>();
        headers.add(HeaderField.of(ProxyHeaders.SERVICE, service));
        headers.add(HeaderField.of(ProxyHeaders.CALLER_SERVICE, caller));
        headers.add(HeaderField.of(ProxyHeaders.KIND, kind.name()));
        headers.add(HeaderField.of(ProxyHeaders.RANK, rank));
        headers.add(HeaderField.of(ProxyHeaders.DEADLINE, remaining.toMillis()));
        headers.add(HeaderField.of(ProxyHeaders.TARGET_LATENCY, targetLatency.toMillis()));
        headers.add(HeaderField.of(ProxyHeaders.ELAPSED, elapsed.toMillis()));
        headers.add(HeaderField.of(ProxyHeaders.ATTEMPT, attempt));
        if (isRepeat) {
            headers.add(HeaderField.of(ProxyHeaders.REPEAT, 1));
        }
        condition.ifPresent(known -> headers.add(HeaderField.of(ProxyHeaders.TARGET_CONDITION, known)));
        organisation.ifPresent(known -> headers.add(HeaderField.of(ProxyHeaders.ORGANISATION, known)));
        key.ifPresent(checked -> headers.add(HeaderField.of(ProxyHeaders.CHECKED_KEY, checked.headerValue())));
        suspicion.ifPresent(known -> headers.add(HeaderField.of(ProxyHeaders.SUSPICION, known.headerValue())));
        return headers;
    }

    private static Optional<ServiceName> name(List<HeaderField> headers, String header) {
        return HeaderField.find(headers, header).filter(Names::isWellFormed).map(ServiceName::of);
    }
}
