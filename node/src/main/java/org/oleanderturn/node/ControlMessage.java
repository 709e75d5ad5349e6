package org.oleanderturn.node;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;
import org.oleanderturn.distribution.ConfigurationUpdate;
import org.oleanderturn.distribution.PeerVersionReport;
import org.oleanderturn.distribution.PushResponse;
import org.oleanderturn.membership.GossipMessage;
import org.oleanderturn.mesh.TargetCondition;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.DrainOutcome;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.traffic.CrashSuspicion;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.traffic.QuarantineRecord;
import org.oleanderturn.traffic.RolloutReport;
import org.oleanderturn.traffic.TokenAnswer;
import org.oleanderturn.traffic.TokenRequest;

/**
 * The messages that nodes exchange over the control channel, encoded under their simple class names.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface ControlMessage {

    /** A message of the gossip protocol: a request or its answer. */
    record Membership(GossipMessage message) implements ControlMessage {}

    /** Requests what is newer than the held configuration, whose digest is given; answered by {@link Update}. */
    record Fetch(ConfigurationVersion held, Digest digest) implements ControlMessage {}

    /** Answers {@link Fetch} with a configuration update. */
    record Update(ConfigurationUpdate update) implements ControlMessage {}

    /** Sends a configuration update; answered by {@link Pushed}. */
    record Push(Address sender, ConfigurationUpdate update) implements ControlMessage {}

    /** Answers {@link Push} with the response to the update. */
    record Pushed(PushResponse answer) implements ControlMessage {}

    /** Requests the versions that a peer knows, on behalf of a restarted node; answered by {@link Recollected}. */
    record Recollect(NodeId asker) implements ControlMessage {}

    /** Answers {@link Recollect} with the versions that the peer knows. */
    record Recollected(PeerVersionReport recollection) implements ControlMessage {}

    /**
     * Asks the relay of a zone what it holds and whether it reads the store; answered by {@link RelayAnswer}.
     *
     * @param isConfirmationNeeded whether the relay should find out whether its version is the newest
     */
    record AskRelay(boolean isConfirmationNeeded) implements ControlMessage {}

    /** Answers {@link AskRelay}. */
    record RelayAnswer(RelayReport report) implements ControlMessage {}

    /** Requests that a node drains its target, or ends the drain; answered by {@link Drained}. */
    record Drain(boolean isDraining) implements ControlMessage {}

    /** Answers {@link Drain} with the outcome. */
    record Drained(DrainOutcome outcome) implements ControlMessage {}

    /** Announces the quarantine of a request that crashed a target; answered by {@link Noted}. */
    record Convict(QuarantineRecord conviction) implements ControlMessage {}

    /**
     * Sends what the sender knows of requests under which targets have ended; answered by {@link Noted}, or itself the
     * answer to {@link CompareSuspicions}.
     */
    record Suspicions(List<CrashSuspicion> suspicions) implements ControlMessage {

        /** Copies the list. */
        public Suspicions {
            suspicions = List.copyOf(suspicions);
        }
    }

    /** Asks for {@link Suspicions} unless the receiver's have the given digest, in which case it answers {@link Noted}. */
    record CompareSuspicions(long digest) implements ControlMessage {}

    /**
     * Sends what the sender knows of what targets ask of the nodes; answered by {@link Noted}, or itself the answer to
     * {@link CompareConditions}.
     */
    record Conditions(List<TargetCondition> conditions) implements ControlMessage {

        /** Copies the list. */
        public Conditions {
            conditions = List.copyOf(conditions);
        }
    }

    /** Asks for {@link Conditions} unless the receiver's have the given digest, in which case it answers {@link Noted}. */
    record CompareConditions(long digest) implements ControlMessage {}

    /** Reports the load of a node's target; answered by {@link Noted}. */
    record Load(NodeId node, LoadReport report) implements ControlMessage {}

    /** Asks a holder for tokens of limits; answered by {@link Taken}. */
    record Take(TokenRequest request) implements ControlMessage {}

    /** Answers {@link Take}. */
    record Taken(TokenAnswer answer) implements ControlMessage {}
    /**
     * Tells the judge of rollouts what the sender has counted; answered by {@link RolloutDirectives}, or by {@link Noted} where
     * the receiver does not know the orders.
     */
    record RolloutReports(List<RolloutReport> reports) implements ControlMessage {

        /** Copies the list. */
        public RolloutReports {
            reports = List.copyOf(reports);
        }
    }

    /** Answers {@link RolloutReports} with how far the rollout of each order is; a service without an order is missing. */
    record RolloutDirectives(List<RolloutDirective> directives) implements ControlMessage {

        /** Copies the list. */
        public RolloutDirectives {
            directives = List.copyOf(directives);
        }
    }

    /** Acknowledges a message that needs no other answer. */
    record Noted() implements ControlMessage {}

    /** Answers a message that can't be decoded, or that is an answer itself. */
    record NotUnderstood(String reason) implements ControlMessage {

        /** Requires a reason. */
        public NotUnderstood {
            Objects.requireNonNull(reason, "reason is null");
        }
    }
}
