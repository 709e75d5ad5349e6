package org.oleanderturn.distribution;

import java.util.Objects;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;

/**
 * An event in the distribution of configuration versions, as one node sees it.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface VersionEvent {

    /** How the content of a version came. */
    enum Form {
        DELTA,
        SNAPSHOT
    }

    /** The direction of a transfer between this node and a peer. */
    enum Transfer {
        PUSH,
        FETCH
    }

    /** The node learned that a version exists, without its content. */
    record Heard(VersionOrigin origin, ConfigurationVersion version) implements VersionEvent {

        /** Throws {@link NullPointerException} if a component is null. */
        public Heard {
            Objects.requireNonNull(origin, "origin is null");
            Objects.requireNonNull(version, "version is null");
        }
    }

    /** The node read the configuration in the platform's store, or that there is none. */
    record StoreRead() implements VersionEvent {}

    /**
     * The content of a version was offered to the holder.
     *
     * @param result what the holder made of it
     * @param takenMilliseconds the time from the offer to its result, with the listeners of an adoption
     */
    record Offered(VersionOrigin origin, Form form, AdoptionResult result, long takenMilliseconds)
            implements VersionEvent {

        /** Throws {@link NullPointerException} if a component is null. */
        public Offered {
            Objects.requireNonNull(origin, "origin is null");
            Objects.requireNonNull(form, "form is null");
            Objects.requireNonNull(result, "result is null");
        }
    }

    /**
     * A transfer of a version between this node and a peer failed.
     *
     * @param version the version that this node pushed, or the one that it held when it tried to fetch a newer one
     */
    record TransferFailed(
            Transfer transfer, Address peer, ConfigurationVersion version, PeerFailure failure, long takenMilliseconds)
            implements VersionEvent {

        /** Throws {@link NullPointerException} if a component is null. */
        public TransferFailed {
            Objects.requireNonNull(transfer, "transfer is null");
            Objects.requireNonNull(peer, "peer is null");
            Objects.requireNonNull(version, "version is null");
            Objects.requireNonNull(failure, "failure is null");
        }
    }

    /**
     * A peer put off a fetch because of its rate limit for snapshots.
     *
     * @param version the version that this node held
     */
    record FetchDeferred(Address peer, ConfigurationVersion version, long retryAfterMilliseconds)
            implements VersionEvent {

        /** Throws {@link NullPointerException} if a component is null. */
        public FetchDeferred {
            Objects.requireNonNull(peer, "peer is null");
            Objects.requireNonNull(version, "version is null");
        }
    }
}
