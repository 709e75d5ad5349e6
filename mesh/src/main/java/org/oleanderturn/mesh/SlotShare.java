package org.oleanderturn.mesh;

import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.traffic.SlotDecision;
import org.oleanderturn.traffic.SlotTicket;

/**
 * By which rank and share a guard decided on a slot.
 *
 * <p>Immutable and thread safe.
 *
 * @param organisation the organisation that sent the request; empty for an anonymous one
 * @param isOverShare whether the organisation had had more than its share within the rank
 * @param refusal why no slot was granted; empty if one was
 */
public record SlotShare(
        int rank, Optional<OrganisationName> organisation, boolean isOverShare, Optional<SlotDecision.Reason> refusal) {

    /** Throws a {@link NullPointerException} when a component is null. */
    public SlotShare {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(refusal, "refusal is null");
    }

    /** Returns the share by which a request got a decision. */
    static SlotShare of(GuardRequestMetadata metadata, SlotTicket ticket, SlotDecision decision) {
        Optional<SlotDecision.Reason> refusal =
                decision instanceof SlotDecision.Refused refused ? Optional.of(refused.reason()) : Optional.empty();
        return new SlotShare(metadata.rank(), metadata.organisation(), ticket.isOverShare(), refusal);
    }
}
