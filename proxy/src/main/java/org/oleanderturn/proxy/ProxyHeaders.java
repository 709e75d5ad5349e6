package org.oleanderturn.proxy;

/** The names of the HTTP headers that callers, nodes and targets exchange. */
public final class ProxyHeaders {
    /** From callers: names a booking; the same key never runs twice. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** From callers and between nodes: identifies a request in logs and answers. */
    public static final String REQUEST_ID = "Oleanderturn-Request-Id";
    /** From callers, between nodes and to targets: milliseconds that are left for the answer. */
    public static final String DEADLINE = "Oleanderturn-Deadline-Milliseconds";
    /** Between nodes: the service that the request is for. */
    public static final String SERVICE = "Oleanderturn-Service";
    /** Between nodes: the kind of the request. */
    public static final String KIND = "Oleanderturn-Kind";
    /** Between nodes: the route that the request came by. */
    public static final String ROUTE = "Oleanderturn-Route";
    /** Between nodes: the attempt's number, from 1. */
    public static final String ATTEMPT = "Oleanderturn-Attempt";
    /** From callers, between nodes and to targets: retries left for the whole chain of calls. */
    public static final String RETRIES_LEFT = "Oleanderturn-Retries-Left";
    /** Between nodes: identifies requests that are the same to a target. */
    public static final String FINGERPRINT = "Oleanderturn-Fingerprint";
    /** Between nodes: the request may have crashed a target. */
    public static final String SUSPECT = "Oleanderturn-Suspect";
    /** Between nodes: the claim under which a booking runs. */
    public static final String CLAIM = "Oleanderturn-Claim";
    /** Between nodes and to callers: what became of the request, see {@link RequestOutcome}. */
    public static final String OUTCOME = "Oleanderturn-Outcome";
    /** Between nodes and to callers: the type of the refusal or failure. */
    public static final String REASON = "Oleanderturn-Reason";
    /** To callers: the answer is that of an earlier run of the same booking. */
    public static final String REPLAYED = "Oleanderturn-Replayed";
    /** To callers: the configuration version by which the request was routed. */
    public static final String CONFIGURATION_VERSION = "Oleanderturn-Configuration-Version";
    /** To callers: when to come back, in seconds. */
    public static final String RETRY_AFTER = "Retry-After";
    /** Between nodes: when to come back, in milliseconds. */
    public static final String RETRY_AFTER_MILLISECONDS = "Oleanderturn-Retry-After-Milliseconds";

    /** Between nodes: the rank of the request where work has to wait, 0 first. */
    public static final String RANK = "Oleanderturn-Rank";
    /** Between nodes: milliseconds within which an answer is worth most. */
    public static final String TARGET_LATENCY = "Oleanderturn-Target-Latency-Milliseconds";
    /** Between nodes: milliseconds that the client has waited, earlier attempts included. */
    public static final String ELAPSED = "Oleanderturn-Elapsed-Milliseconds";
    /** Between nodes: the service on whose host the request began. */
    public static final String CALLER_SERVICE = "Oleanderturn-Caller-Service";
    /** Between nodes: the load of the answering node's target. */
    public static final String LOAD = "Oleanderturn-Load";

    private ProxyHeaders() {}
}
