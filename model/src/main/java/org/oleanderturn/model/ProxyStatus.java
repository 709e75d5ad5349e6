package org.oleanderturn.model;

import java.util.Objects;

/**
 * The status of one proxy, as seen by the node that reports it.
 *
 * <p>Immutable and thread safe.
 *
 * @param node the id of the proxy
 * @param address the address at which it accepts requests
 * @param locality its region and availability zone
 * @param service the service that its target runs
 * @param state whether its target accepts new requests
 * @param isReachable whether the reporting node considers it reachable
 * @param version the configuration version that it holds
 * @param lag the number of versions by which it is behind the newest version known to the reporting node
 */
public record ProxyStatus(
        NodeId node,
        Address address,
        Locality locality,
        ServiceName service,
        EndpointState state,
        boolean isReachable,
        ConfigurationVersion version,
        long lag) {

    /** Throws {@link NullPointerException} if a component is null. */
    public ProxyStatus {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(version, "version is null");
    }
}
