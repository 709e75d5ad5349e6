package org.oleanderturn.membership;

import java.util.Objects;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/**
 * What the members know of one of them.
 *
 * <p>Invariant: {@link #merge} is commutative, associative and idempotent over the records of one node, so records may
 * be lost, repeated or reordered on their way; an incarnation never goes back, and within one the liveness, the
 * endpoint's state and the held version only move forward. Immutable and thread safe.
 *
 * @param endpoint the target behind the node, with the node's incarnation
 * @param controlAddress where the node takes control messages
 * @param heldVersion the configuration that the node holds
 * @param liveness whether the node answers
 */
public record MemberRecord(
        Endpoint endpoint, Address controlAddress, ConfigurationVersion heldVersion, Liveness liveness) {

    /** Checks that every part is there. */
    public MemberRecord {
        Objects.requireNonNull(endpoint, "endpoint is null");
        Objects.requireNonNull(controlAddress, "controlAddress is null");
        Objects.requireNonNull(heldVersion, "heldVersion is null");
        Objects.requireNonNull(liveness, "liveness is null");
    }

    /** Returns the record of a member that has just started and is alive. */
    public static MemberRecord of(Endpoint endpoint, Address controlAddress) {
        return new MemberRecord(endpoint, controlAddress, ConfigurationVersion.none(), Liveness.ALIVE);
    }

    // -- queries

    /** Returns the node's identifier. */
    public NodeId node() {
        return endpoint.node();
    }

    /** Returns where the node stands. */
    public Locality locality() {
        return endpoint.locality();
    }

    /** Returns the incarnation that the record speaks of. */
    public long incarnation() {
        return endpoint.incarnation();
    }

    /** Returns whether the two records say the same but for the held version. */
    public boolean hasSameStatus(MemberRecord other) {
        return incarnation() == other.incarnation()
                && liveness == other.liveness
                && endpoint.state() == other.endpoint.state();
    }

    /** Returns whether this record says all that another record of the node says. */
    public boolean subsumes(MemberRecord other) {
        return merge(other).equals(this);
    }

    // -- core operations

    /** Returns the record that holds what both records of one node say. */
    public MemberRecord merge(MemberRecord other) {
        if (other.incarnation() != incarnation()) {
            return other.incarnation() > incarnation() ? other : this;
        }
        EndpointState state =
                endpoint.state().compareTo(other.endpoint.state()) >= 0 ? endpoint.state() : other.endpoint.state();
        return new MemberRecord(
                withState(state, incarnation()),
                controlAddress,
                ConfigurationVersion.newest(heldVersion, other.heldVersion),
                Liveness.higherPrecedence(liveness, other.liveness));
    }

    // -- derived operations

    MemberRecord withLiveness(Liveness next) {
        return new MemberRecord(endpoint, controlAddress, heldVersion, next);
    }

    MemberRecord withHeldVersion(ConfigurationVersion version) {
        return new MemberRecord(endpoint, controlAddress, version, liveness);
    }

    MemberRecord withIncarnation(long next) {
        return new MemberRecord(withState(endpoint.state(), next), controlAddress, heldVersion, liveness);
    }

    /** Returns the record with another state; a step back takes a new incarnation. */
    MemberRecord withState(EndpointState state) {
        boolean isStepBack = state.compareTo(endpoint.state()) < 0;
        long next = isStepBack ? incarnation() + 1 : incarnation();
        return new MemberRecord(withState(state, next), controlAddress, heldVersion, liveness);
    }

    private Endpoint withState(EndpointState state, long incarnation) {
        return new Endpoint(
                endpoint.node(),
                endpoint.address(),
                endpoint.locality(),
                endpoint.service(),
                endpoint.slots(),
                state,
                incarnation);
    }
}
