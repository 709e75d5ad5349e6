package org.oleanderturn.traffic;

import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.ServiceName;

/**
 * Who sends a request, as its target is told. Immutable and thread safe.
 *
 * @param service the service on whose host the request begins; empty where targets aren't told
 * @param organisation the organisation that sent the request; empty for an anonymous one
 */
public record RequestSender(Optional<ServiceName> service, Optional<OrganisationName> organisation) {
    private static final RequestSender UNKNOWN = new RequestSender(Optional.empty(), Optional.empty());

    /** Throws {@link NullPointerException} if a component is null. */
    public RequestSender {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(organisation, "organisation is null");
    }

    /** Returns the sender of a request whose target is told nothing of it. */
    public static RequestSender unknown() {
        return UNKNOWN;
    }

    /** Returns a client of a service that sends for an organisation, or anonymously. */
    public static RequestSender of(ServiceName service, Optional<OrganisationName> organisation) {
        return new RequestSender(Optional.of(service), organisation);
    }
}
