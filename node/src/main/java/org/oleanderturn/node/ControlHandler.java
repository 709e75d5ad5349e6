package org.oleanderturn.node;

import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.PeerVersionReport;
import org.oleanderturn.membership.Gossip;
import org.oleanderturn.membership.GossipMessage;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.traffic.CrashQuarantine;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.wire.Frame;
import org.oleanderturn.wire.FrameHandler;

/**
 * Answers other nodes' control messages.
 *
 * <p>Invariant: every frame gets an answer; one that can't be read changes nothing. Thread safe.
 */
final class ControlHandler implements FrameHandler {
    private final NodeId self;
    private final Gossip gossip;
    private final Disseminator spreader;
    private final Recovery recovery;
    private final DrainControl drains;
    private final CrashQuarantine quarantine;
    private final BiConsumer<NodeId, LoadReport> loads;
    private final LongSupplier milliseconds;

    ControlHandler(
            NodeId self,
            Gossip gossip,
            Disseminator spreader,
            Recovery recovery,
            DrainControl drains,
            CrashQuarantine quarantine,
            BiConsumer<NodeId, LoadReport> loads,
            LongSupplier milliseconds) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.gossip = Objects.requireNonNull(gossip, "gossip is null");
        this.spreader = Objects.requireNonNull(spreader, "spreader is null");
        this.recovery = Objects.requireNonNull(recovery, "recovery is null");
        this.drains = Objects.requireNonNull(drains, "drains is null");
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine is null");
        this.loads = Objects.requireNonNull(loads, "loads is null");
        this.milliseconds = Objects.requireNonNull(milliseconds, "milliseconds is null");
    }

    @Override
    public Frame handle(Frame request) {
        ControlMessage answer = Codec.messagePack()
                .decode(request.payload(), ControlMessage.class)
                .fold(failure -> new ControlMessage.NotUnderstood(failure.toString()), this::answer);
        return Frame.of(ControlChannel.FRAME_KIND, Codec.messagePack().encode(answer));
    }

    private ControlMessage answer(ControlMessage message) {
        return switch (message) {
            case ControlMessage.Membership membership -> gossip(membership.message());
            case ControlMessage.Fetch fetch ->
                new ControlMessage.Update(spreader.serve(fetch.held(), fetch.digest(), milliseconds.getAsLong()));
            case ControlMessage.Push push -> new ControlMessage.Pushed(spreader.receive(push.sender(), push.update()));
            case ControlMessage.Recollect recollect -> new ControlMessage.Recollected(recollect(recollect.asker()));
            case ControlMessage.Drain drain -> new ControlMessage.Drained(drains.apply(drain.isDraining()));
            case ControlMessage.Convict convict -> {
                quarantine.merge(convict.conviction());
                yield new ControlMessage.Noted();
            }
            case ControlMessage.Load load -> {
                loads.accept(load.node(), load.report());
                yield new ControlMessage.Noted();
            }
            case ControlMessage.Update _,
                    ControlMessage.Pushed _,
                    ControlMessage.Recollected _,
                    ControlMessage.Drained _,
                    ControlMessage.Noted _,
                    ControlMessage.NotUnderstood _ -> new ControlMessage.NotUnderstood("an answer is no question");
        };
    }

    private ControlMessage gossip(GossipMessage message) {
        GossipMessage answer = gossip.receive(message);
        gossip.table()
                .record(message.header().sender().node())
                .ifPresent(record -> spreader.recordAdvertisedVersion(record.controlAddress(), record.heldVersion()));
        return new ControlMessage.Membership(answer);
    }

    private PeerVersionReport recollect(NodeId asker) {
        PeerVersionReport known = spreader.reportVersions(self, recovery.isReady());
        ConfigurationVersion remembered = gossip.table().highestKnownVersion(asker);
        return new PeerVersionReport(
                self, known.isReady(), known.held(), ConfigurationVersion.newest(known.newestKnown(), remembered));
    }
}
