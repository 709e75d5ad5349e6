package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.BodyReservation;
import org.oleanderturn.proxy.HeaderField;

/**
 * A client's request together with the route that matched it.
 *
 * <p>Immutable and thread safe; the body's bytes must not be changed.
 *
 * @param identity identifies the request in other attempts of its client
 * @param headers the client's headers without hop-by-hop and mesh-internal headers
 * @param service the service chosen from the route's traffic split
 * @param version the version of the configuration that the route comes from
 * @param receivedNanoseconds when the request arrived
 * @param deadlineNanoseconds when the client's or the route's timeout ends, or the entry stops, whichever is first
 * @param earlierWait how long the client spent on earlier attempts
 * @param organisation the organisation that sent the request; empty for an anonymous one
 * @param callRank the rank of a request that may be a call of the local target; empty for others
 * @param bodies what the responses of all attempts are reserved from
 */
@SuppressWarnings("ArrayRecordComponent")
record MeshRequest(
        String method,
        String path,
        List<HeaderField> headers,
        byte[] body,
        RequestIdentity identity,
        ClientRequestMetadata client,
        RouteIndex.Match match,
        ServiceName service,
        ConfigurationVersion version,
        long receivedNanoseconds,
        long deadlineNanoseconds,
        Duration earlierWait,
        Optional<Organisation> organisation,
        OptionalInt callRank,
        BodyReservation bodies) {

    /** More than there are priorities of routes, so that the priorities of organisations go before them. */
    private static final int RANKS_PER_PRIORITY = 10;

    MeshRequest {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(identity, "identity is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(match, "match is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(callRank, "callRank is null");
        Objects.requireNonNull(bodies, "bodies is null");
        headers = List.copyOf(headers);
    }

    /**
     * Returns the rank of a request without an organisation where organisations are declared. Calls of the local target can't
     * be told from other requests without a key, so that none of them is ranked behind the most urgent request that runs there:
     * a run must not wait behind less urgent ones for what it calls.
     *
     * @param mostUrgentRunning the rank of the most urgent request that runs at the local target
     */
    static OptionalInt callRank(Route route, OptionalInt mostUrgentRunning) {
        int routePriority = route.effectivePriority();
        return OptionalInt.of(Math.min(routePriority, mostUrgentRunning.orElse(routePriority)));
    }

    /** Returns the rank of the request in queues, 0 first: the priority of its organisation goes before that of its route. */
    int rank() {
        if (callRank.isPresent()) {
            return callRank.getAsInt();
        }
        return rank(match.route(), organisation);
    }

    /** Returns the rank of a request that is no call of the local target. */
    static int rank(Route route, Optional<Organisation> organisation) {
        int routePriority = route.effectivePriority();
        return organisation
                .flatMap(Organisation::priority)
                .map(priority -> priority * RANKS_PER_PRIORITY + routePriority)
                .orElse(routePriority);
    }

    /** Returns whether a run that begins now would probably end after the target latency, from the client's first attempt. */
    boolean isLate(long nowNanoseconds) {
        if (match.route().targetLatencyMilliseconds().isEmpty()) {
            return false;
        }
        Duration elapsed = earlierWait.plusNanos(nowNanoseconds - receivedNanoseconds);
        double spare = match.route().targetLatencyMilliseconds().get() * (1 - LatencyRatio.INITIAL_RATIO);
        return elapsed.toMillis() > spare;
    }

    /** Returns whether the request may be a call that a run of the local target waits for. */
    boolean isPossibleCall() {
        return callRank.isPresent();
    }

    Optional<OrganisationName> organisationName() {
        return organisation.map(Organisation::name);
    }

    /** Returns what to tell a guard of the key, by the version that still holds it; empty for an anonymous request. */
    Optional<CheckedKey> checkedKey(ConfigurationVersion checked) {
        return organisation.isPresent() && client.credentials() instanceof ClientCredentials.Key key
                ? Optional.of(CheckedKey.of(checked, key.digest()))
                : Optional.empty();
    }

    String attemptId() {
        return client.attemptId();
    }
}
