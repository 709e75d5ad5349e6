package org.oleanderturn.node;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;
import org.oleanderturn.distribution.ConfigurationUpdate;
import org.oleanderturn.distribution.PeerVersionReport;
import org.oleanderturn.distribution.PushResponse;
import org.oleanderturn.membership.GossipMessage;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.DrainOutcome;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.traffic.QuarantineRecord;

/**
 * What nodes say to each other over the control channel.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface ControlMessage {

    /** A message of the membership protocol, either way. */
    record Membership(GossipMessage message) implements ControlMessage {}

    /** Asks for what is newer than the held configuration; answered by {@link Update}. */
    record Fetch(ConfigurationVersion held, Digest digest) implements ControlMessage {}

    /** Answers {@link Fetch}. */
    record Update(ConfigurationUpdate update) implements ControlMessage {}

    /** Hands over an update; answered by {@link Pushed}. */
    record Push(Address sender, ConfigurationUpdate update) implements ControlMessage {}

    /** Answers {@link Push}. */
    record Pushed(PushResponse answer) implements ControlMessage {}

    /** Asks what a restarted node has to catch up with; answered by {@link Recollected}. */
    record Recollect(NodeId asker) implements ControlMessage {}

    /** Answers {@link Recollect}. */
    record Recollected(PeerVersionReport recollection) implements ControlMessage {}

    /** Asks a node to drain its target, or to end the drain; answered by {@link Drained}. */
    record Drain(boolean isDraining) implements ControlMessage {}

    /** Answers {@link Drain}. */
    record Drained(DrainOutcome outcome) implements ControlMessage {}

    /** Spreads a conviction; answered by {@link Noted}. */
    record Convict(QuarantineRecord conviction) implements ControlMessage {}

    /** Tells the load of a node's target; answered by {@link Noted}. */
    record Load(NodeId node, LoadReport report) implements ControlMessage {}

    /** Answers a message that asks for nothing. */
    record Noted() implements ControlMessage {}

    /** Answers a message that can't be read, or is an answer itself. */
    record NotUnderstood(String reason) implements ControlMessage {

        /** Checks that the reason is there. */
        public NotUnderstood {
            Objects.requireNonNull(reason, "reason is null");
        }
    }
}
