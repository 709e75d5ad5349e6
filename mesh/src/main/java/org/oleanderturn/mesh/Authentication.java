package org.oleanderturn.mesh;

import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.Organisation;

/** Who sent a request, by the key that it carries. Implementations are immutable and thread safe. */
public sealed interface Authentication {

    /** The request may run; it belongs to an organisation, or is anonymous where its route allows that. */
    record Admitted(Optional<Organisation> organisation) implements Authentication {

        /** Throws a {@link NullPointerException} when the component is null. */
        public Admitted {
            Objects.requireNonNull(organisation, "organisation is null");
        }
    }

    /** The configuration at hand holds no such key, or the request lacks the key that its route needs. */
    record UnknownKey() implements Authentication {}

    /** The key may have been removed by a version that this node has not heard of. */
    record Unconfirmed() implements Authentication {}
}
