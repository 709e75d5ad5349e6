package org.oleanderturn.model;

import java.util.Objects;

/**
 * A target as other nodes see it: reached through the node on its host.
 *
 * <p>Immutable and thread safe.
 *
 * @param node the node on the target's host
 * @param address where that node takes requests from other nodes
 * @param locality where the host stands
 * @param service the service that the target answers for
 * @param slots requests that the target runs at once
 * @param state whether the target takes new work
 * @param incarnation the node's incarnation number, higher after each restart or refutation
 */
public record Endpoint(
        NodeId node,
        Address address,
        Locality locality,
        ServiceName service,
        int slots,
        EndpointState state,
        long incarnation) {

    /** Checks that every part is there. */
    public Endpoint {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(state, "state is null");
    }

    /** Returns this endpoint with another number of slots. */
    public Endpoint withSlots(int declaredSlots) {
        return new Endpoint(node, address, locality, service, declaredSlots, state, incarnation);
    }

    /** Returns whether the target takes new work. */
    public boolean isReady() {
        return state == EndpointState.READY;
    }
}
