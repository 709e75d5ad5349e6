package org.oleanderturn.node;

import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.membership.Gossip;
import org.oleanderturn.membership.GossipMessage;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.traffic.CrashQuarantine;
import org.oleanderturn.wire.Frame;
import org.oleanderturn.wire.FrameHandler;

/**
 * Answers other nodes' control messages.
 *
 * <p>Invariant: every frame gets an answer; one that can't be decoded changes nothing. Thread safe.
 */
final class ControlHandler implements FrameHandler {
    private final ControlFrames frames = new ControlFrames();
    private final Gossip gossip;
    private final Disseminator disseminator;
    private final ConfigurationMessages configurationMessages;
    private final DrainController drainController;
    private final CrashQuarantine quarantine;
    private final UnaryOperator<ControlMessage> otherMessages;
    private final ConfigurationTraffic traffic = new ConfigurationTraffic();

    ControlHandler(
            NodeId self,
            Gossip gossip,
            Disseminator disseminator,
            Recovery recovery,
            DrainController drainController,
            CrashQuarantine quarantine,
            UnaryOperator<ControlMessage> otherMessages,
            LongSupplier milliseconds) {
        Objects.requireNonNull(self, "self is null");
        this.gossip = Objects.requireNonNull(gossip, "gossip is null");
        this.disseminator = Objects.requireNonNull(disseminator, "disseminator is null");
        this.drainController = Objects.requireNonNull(drainController, "drainController is null");
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine is null");
        this.otherMessages = Objects.requireNonNull(otherMessages, "otherMessages is null");
        this.configurationMessages = new ConfigurationMessages(
                self, disseminator, recovery, requester -> gossip.table().highestKnownVersion(requester), milliseconds);
    }

    /** Returns the counts of other nodes' messages about configurations, and of the answers to them. */
    ConfigurationTraffic traffic() {
        return traffic;
    }

    @Override
    public Frame handle(Frame request) {
        ControlMessage answer = ControlFrames.decode(request)
                .peek(message -> traffic.addReceived(message, request.payload().length))
                .fold(failure -> new ControlMessage.NotUnderstood(failure.toString()), this::answer);
        Frame frame = frames.encode(answer, ControlFrames.readsCompressed(request));
        traffic.addSent(answer, frame.payload().length);
        return frame;
    }

    private ControlMessage answer(ControlMessage message) {
        return switch (message) {
            case ControlMessage.Membership membership -> gossip(membership.message());
            case ControlMessage.Fetch _, ControlMessage.Push _, ControlMessage.Recollect _ ->
                configurationMessages.answer(message);
            case ControlMessage.Drain drain ->
                new ControlMessage.Drained(drainController.setDraining(drain.isDraining()));
            case ControlMessage.Convict convict -> {
                quarantine.merge(convict.conviction());
                yield new ControlMessage.Noted();
            }
            case ControlMessage.AskRelay _,
                    ControlMessage.Suspicions _,
                    ControlMessage.CompareSuspicions _,
                    ControlMessage.Conditions _,
                    ControlMessage.CompareConditions _,
                    ControlMessage.Load _,
                    ControlMessage.Take _,
                    ControlMessage.RolloutReports _ -> otherMessages.apply(message);
            case ControlMessage.Update _,
                    ControlMessage.Pushed _,
                    ControlMessage.Recollected _,
                    ControlMessage.RelayAnswer _,
                    ControlMessage.RolloutDirectives _,
                    ControlMessage.Drained _,
                    ControlMessage.Taken _,
                    ControlMessage.Noted _,
                    ControlMessage.NotUnderstood _ -> new ControlMessage.NotUnderstood("an answer is no question");
        };
    }

    private ControlMessage gossip(GossipMessage message) {
        GossipMessage answer = gossip.receive(message);
        gossip.table()
                .record(message.header().sender().node())
                .ifPresent(
                        record -> disseminator.recordAdvertisedVersion(record.controlAddress(), record.heldVersion()));
        return new ControlMessage.Membership(answer);
    }
}
