package org.oleanderturn.proxy;

/** The names of the HTTP headers that callers, nodes and targets exchange. */
public final class ProxyHeaders {
    /** From callers: identifies a booking, which runs at most once per key. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** From callers and between nodes: identifies a request in logs and answers. */
    public static final String REQUEST_ID = "Oleanderturn-Request-Id";
    /** From callers, between nodes and to targets: milliseconds left until the caller stops waiting. */
    public static final String DEADLINE = "Oleanderturn-Deadline-Milliseconds";
    /** Between nodes: the service that must run the request. */
    public static final String SERVICE = "Oleanderturn-Service";
    /** Between nodes: the kind of the request. */
    public static final String KIND = "Oleanderturn-Kind";
    /** Between nodes: the route that matched the request. */
    public static final String ROUTE = "Oleanderturn-Route";
    /** Between nodes: the number of the attempt, from 1. */
    public static final String ATTEMPT = "Oleanderturn-Attempt";
    /** From callers, between nodes and to targets: retries left for the whole chain of calls. */
    public static final String RETRIES_LEFT = "Oleanderturn-Retries-Left";
    /** Between nodes: a hash that is equal for requests with the same route, method, path and body. */
    public static final String FINGERPRINT = "Oleanderturn-Fingerprint";
    /** Between nodes: the request may have crashed a target. */
    public static final String SUSPECT = "Oleanderturn-Suspect";
    /** Between nodes: what the entry knows of a request under which targets have ended. */
    public static final String SUSPICION = "Oleanderturn-Suspicion";
    /** Between nodes: the request has been sent to a target before. */
    public static final String REPEAT = "Oleanderturn-Repeat";
    /** Between nodes: the token of the claim under which a booking runs. */
    public static final String CLAIM = "Oleanderturn-Claim";
    /** Between nodes and to callers: the outcome of the request, see {@link RequestOutcome}. */
    public static final String OUTCOME = "Oleanderturn-Outcome";
    /** Between nodes and to callers: why the request was refused or failed. */
    public static final String REASON = "Oleanderturn-Reason";
    /** To callers: the response was recorded by an earlier run of the same booking. */
    public static final String REPLAYED = "Oleanderturn-Replayed";
    /** To callers: the version of the configuration that routed the request. */
    public static final String CONFIGURATION_VERSION = "Oleanderturn-Configuration-Version";
    /** To callers: the delay after which to retry, in seconds. */
    public static final String RETRY_AFTER = "Retry-After";
    /** Between nodes and to callers: the delay after which to retry, in milliseconds. */
    public static final String RETRY_AFTER_MILLISECONDS = "Oleanderturn-Retry-After-Milliseconds";

    /** Between nodes: the priority of the request in queues; 0 is served first. */
    public static final String RANK = "Oleanderturn-Rank";
    /** Between nodes: the latency that the route aims for, in milliseconds. */
    public static final String TARGET_LATENCY = "Oleanderturn-Target-Latency-Milliseconds";
    /** Between nodes: milliseconds that the client has waited so far, including earlier attempts. */
    public static final String ELAPSED = "Oleanderturn-Elapsed-Milliseconds";
    /** Between nodes: the service on the host where the request entered the mesh. */
    public static final String CALLER_SERVICE = "Oleanderturn-Caller-Service";
    /** Between nodes: the load of the target behind the responding node. */
    public static final String LOAD = "Oleanderturn-Load";
    /** Between nodes: the organisation that sent the request. */
    public static final String ORGANISATION = "Oleanderturn-Organisation";
    /** Between nodes: the key that the organisation used, by a part of its digest, and the version that it was checked by. */
    public static final String CHECKED_KEY = "Oleanderturn-Checked-Key";
    /** What the process of the guard's target asks of the nodes. */
    public static final String TARGET_CONDITION = "Oleanderturn-Target-Condition";

    private ProxyHeaders() {}
}
