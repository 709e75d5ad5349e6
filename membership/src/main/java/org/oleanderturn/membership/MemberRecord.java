package org.oleanderturn.membership;

import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.SoftwareVersion;

/**
 * The replicated state of one member.
 *
 * <p>Invariants: {@link #merge} is commutative, associative and idempotent over the records of one node, so records may
 * be lost, repeated or reordered in transit; the incarnation never decreases, and within one incarnation the liveness,
 * the endpoint's state and the held version only move forward,
 * and the target's software has one version. Immutable and thread safe.
 *
 * @param endpoint the target behind the node, with the node's incarnation
 * @param controlAddress where the node receives control messages
 * @param heldVersion the configuration version that the node holds
 * @param liveness whether the node answers
 */
public record MemberRecord(
        Endpoint endpoint, Address controlAddress, ConfigurationVersion heldVersion, Liveness liveness) {

    /** Rejects null components. */
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

    /** Returns the node's region and availability zone. */
    public Locality locality() {
        return endpoint.locality();
    }

    /** Returns the incarnation that the record describes; a restart, refutation or undrain raises it. */
    public long incarnation() {
        return endpoint.incarnation();
    }

    /** Returns whether the two records agree in incarnation, liveness and endpoint state. */
    public boolean hasSameStatus(MemberRecord other) {
        return incarnation() == other.incarnation()
                && liveness == other.liveness
                && endpoint.state() == other.endpoint.state();
    }

    /** Returns whether merging another record of the same node would not change this one. */
    public boolean subsumes(MemberRecord other) {
        return merge(other).equals(this);
    }

    // -- core operations

    /** Merges two records of the same node; the higher incarnation wins. */
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

    /** Returns the record with the given state; going back to an earlier state starts a new incarnation. */
    MemberRecord withState(EndpointState state) {
        boolean isEarlierState = state.compareTo(endpoint.state()) < 0;
        long next = isEarlierState ? incarnation() + 1 : incarnation();
        return new MemberRecord(withState(state, next), controlAddress, heldVersion, liveness);
    }

    /** Returns the record with another version of the target's software, which starts a new incarnation. */
    MemberRecord withVersion(SoftwareVersion version) {
        Endpoint next = new Endpoint(
                endpoint.node(),
                endpoint.address(),
                endpoint.locality(),
                endpoint.service(),
                endpoint.slots(),
                endpoint.state(),
                incarnation() + 1,
                Optional.of(version));
        return new MemberRecord(next, controlAddress, heldVersion, liveness);
    }

    private Endpoint withState(EndpointState state, long incarnation) {
        return new Endpoint(
                endpoint.node(),
                endpoint.address(),
                endpoint.locality(),
                endpoint.service(),
                endpoint.slots(),
                state,
                incarnation,
                endpoint.version());
    }
}
