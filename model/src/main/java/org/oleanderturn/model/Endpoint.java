package org.oleanderturn.model;

import java.util.Objects;
import java.util.Optional;

/**
 * A target as seen by other nodes, which reach it through the node on its host.
 *
 * <p>Immutable and thread safe.
 *
 * @param node the node on the target's host
 * @param address the address at which that node accepts requests from other nodes
 * @param locality the location of the host
 * @param service the service that the target runs
 * @param slots the number of requests that the target runs concurrently
 * @param state whether the target accepts new requests
 * @param incarnation the node's incarnation number, which increases with each restart or refutation
 * @param version the version of the target's software; empty if the node does not announce it
 */
public record Endpoint(
        NodeId node,
        Address address,
        Locality locality,
        ServiceName service,
        int slots,
        EndpointState state,
        long incarnation,
        Optional<SoftwareVersion> version) {

    /** Throws {@link NullPointerException} if a component is null. */
    public Endpoint {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(state, "state is null");
        // The decoder passes null for a field that is missing.
        version = version == null ? Optional.empty() : version;
    }

    /** Creates an endpoint whose node does not announce the version of the target's software. */
    public Endpoint(
            NodeId node,
            Address address,
            Locality locality,
            ServiceName service,
            int slots,
            EndpointState state,
            long incarnation) {
        this(node, address, locality, service, slots, state, incarnation, Optional.empty());
    }

    /** Returns a copy of this endpoint with the given number of slots. */
    public Endpoint withSlots(int declaredSlots) {
        return new Endpoint(node, address, locality, service, declaredSlots, state, incarnation, version);
    }

    /** Returns whether the target accepts new requests. */
    public boolean isReady() {
        return state == EndpointState.READY;
    }
}
