package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Where a request that is not sent would go from the node that answers, and why.
 *
 * <p>Invariant: tells the knowledge of one node at one moment; nothing was sent or counted for it. Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface PlacementExplanation {

    /** Returns the version of the configuration by which the node answers. */
    ConfigurationVersion version();

    /** What keeps a target from being chosen, if anything. */
    enum Standing {
        /** The target may be chosen. */
        ELIGIBLE,
        /** A rollout sends requests to targets of another version. */
        OTHER_VERSION,
        /** The target does not accept new requests. */
        NOT_READY,
        /** The target said that it leaves. */
        LEAVING,
        /** The target's node reports no slots. */
        CLOSED,
        /** The node avoids the target for a moment after a failure. */
        AVOIDED
    }

    /** The request would be refused; a node makes sure first that its version is the newest. */
    record Refused(ConfigurationVersion version, int status, String reason) implements PlacementExplanation {

        /** Throws {@link NullPointerException} if a component is null. */
        public Refused {
            Objects.requireNonNull(version, "version is null");
            Objects.requireNonNull(reason, "reason is null");
        }
    }

    /**
     * The request would be routed.
     *
     * @param organisation the organisation that holds the key; empty for a request without one
     * @param limit what the node knows of the organisation's limit; empty if there is none
     * @param rank the rank in queues, 0 first, of the priorities of organisation and route
     * @param placement the setting by which the node chooses targets
     * @param expectedBytes bytes that the node expects of the request and its response
     * @param services the services between which the route's requests are split
     */
    record Routed(
            ConfigurationVersion version,
            RouteName route,
            RequestKind kind,
            Optional<OrganisationName> organisation,
            Optional<LimitState> limit,
            int rank,
            int timeoutMilliseconds,
            int maximumAttempts,
            String placement,
            long expectedBytes,
            List<ServicePlacement> services)
            implements PlacementExplanation {

        /** Copies the list; throws {@link NullPointerException} if a component is null. */
        public Routed {
            Objects.requireNonNull(version, "version is null");
            Objects.requireNonNull(route, "route is null");
            Objects.requireNonNull(kind, "kind is null");
            organisation = organisation == null ? Optional.empty() : organisation;
            limit = limit == null ? Optional.empty() : limit;
            Objects.requireNonNull(placement, "placement is null");
            services = List.copyOf(services);
        }
    }

    /**
     * What one node knows of the limit of an organisation, which all nodes keep together.
     *
     * @param requestsPerSecond the limit
     * @param tokens requests that the node may take now without asking
     * @param holder the node that it asks for further ones
     * @param refusedForMilliseconds how long it refuses requests without asking, after it was told that there is no token;
     *     empty if it would ask
     */
    record LimitState(double requestsPerSecond, int tokens, NodeId holder, Optional<Long> refusedForMilliseconds) {

        /** Throws {@link NullPointerException} if the holder is null. */
        public LimitState {
            Objects.requireNonNull(holder, "holder is null");
            refusedForMilliseconds = refusedForMilliseconds == null ? Optional.empty() : refusedForMilliseconds;
        }
    }

    /**
     * The targets of one service.
     *
     * @param weight the service's share of the route's requests, relative to the sum of all weights
     * @param draws how many choices the node repeated for the shares of the targets
     */
    record ServicePlacement(ServiceName service, int weight, int draws, List<Candidate> candidates) {

        /** Copies the list; throws {@link NullPointerException} if a component is null. */
        public ServicePlacement {
            Objects.requireNonNull(service, "service is null");
            candidates = List.copyOf(candidates);
        }
    }

    /**
     * A target.
     *
     * @param load the newest report of its load; empty if the node has none
     * @param unanswered requests that the node has sent there and that have not ended
     * @param chosen how many of the repeated choices fell on the target
     */
    record Candidate(
            NodeId node,
            Locality.Distance distance,
            Standing standing,
            Optional<ReportedLoad> load,
            int unanswered,
            int chosen) {

        /** Throws {@link NullPointerException} if a component is null. */
        public Candidate {
            Objects.requireNonNull(node, "node is null");
            Objects.requireNonNull(distance, "distance is null");
            Objects.requireNonNull(standing, "standing is null");
            load = load == null ? Optional.empty() : load;
        }
    }

    /**
     * A report of a target's load.
     *
     * @param slowness how long requests take, in percent of their target latency; 0 if unknown
     * @param ageMilliseconds how long ago the load was measured, as far as the node knows
     */
    record ReportedLoad(int running, int waiting, int slots, int slowness, long ageMilliseconds) {}
}
