package org.oleanderturn.model;

/** The paths of a node's HTTP interface for operators. All bodies are JSON, except for {@link #METRICS}. */
public final class OperatorPaths {
    /** {@code GET}: a dump of the node's internal state. */
    public static final String STATE = "/v1/state";
    /** {@code GET}: the {@link ConfigurationSnapshot} that the node holds. */
    public static final String CONFIGURATION = "/v1/configuration";
    /** {@code GET}: a list of {@link ProxyStatus}. */
    public static final String PROXIES = "/v1/proxies";
    /** {@code GET}: a list of {@link RoutingTable.Entry}. */
    public static final String ROUTES = "/v1/routes";
    /** {@code GET}: a list of {@link Endpoint}. */
    public static final String ENDPOINTS = "/v1/endpoints";
    /** {@code POST} with a {@link Proposal}, or {@code GET} with an id appended: a {@link ChangeOutcome}. */
    public static final String CHANGES = "/v1/changes";
    /** {@code POST} with a {@link Configuration}: a {@link ConfigurationCheck}. */
    public static final String CHECK = "/v1/check";
    /** {@code POST} with a node id appended: a {@link DrainOutcome}. */
    public static final String DRAIN = "/v1/drain";
    /** {@code POST} with a node id appended: a {@link DrainOutcome}. */
    public static final String UNDRAIN = "/v1/undrain";
    /**
     * {@code POST} with a {@link PlacementQuestion}: a {@link PlacementExplanation}. Served beside the metrics of nodes on the
     * users' platform.
     */
    public static final String PLACEMENT = "/v1/placement";
    /** {@code GET}: the metrics in the Prometheus text format. */
    public static final String METRICS = "/metrics";

    private OperatorPaths() {}
}
