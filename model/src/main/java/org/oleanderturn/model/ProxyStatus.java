package org.oleanderturn.model;

import java.util.Objects;

/**
 * What one proxy holds, as seen by the node that was asked.
 *
 * @param node the proxy's node
 * @param address where it takes requests
 * @param locality where it stands
 * @param service the service of its target
 * @param state whether its target takes new work
 * @param isReachable whether the node that was asked hears of it
 * @param version the configuration version that it holds
 * @param lag how many versions it is behind the newest version known to the node that was asked
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

    /** Checks that every part is there. */
    public ProxyStatus {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(version, "version is null");
    }
}
