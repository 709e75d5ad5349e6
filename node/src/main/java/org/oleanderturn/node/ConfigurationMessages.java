package org.oleanderturn.node;

import java.util.Objects;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.PeerVersionReport;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

/**
 * Answers the messages of other nodes about versions of the configuration.
 *
 * <p>Thread safe.
 */
final class ConfigurationMessages {
    private final NodeId self;
    private final Disseminator disseminator;
    private final Recovery recovery;
    private final Function<NodeId, ConfigurationVersion> highestKnownVersion;
    private final LongSupplier milliseconds;

    /**
     * Creates the answers of a node.
     *
     * @param highestKnownVersion returns the newest version that a node is known to have held, none if it is not known
     */
    ConfigurationMessages(
            NodeId self,
            Disseminator disseminator,
            Recovery recovery,
            Function<NodeId, ConfigurationVersion> highestKnownVersion,
            LongSupplier milliseconds) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.disseminator = Objects.requireNonNull(disseminator, "disseminator is null");
        this.recovery = Objects.requireNonNull(recovery, "recovery is null");
        this.highestKnownVersion = Objects.requireNonNull(highestKnownVersion, "highestKnownVersion is null");
        this.milliseconds = Objects.requireNonNull(milliseconds, "milliseconds is null");
    }

    /** Answers a message about versions; another kind of message is not understood. */
    ControlMessage answer(ControlMessage message) {
        return switch (message) {
            case ControlMessage.Fetch fetch ->
                new ControlMessage.Update(disseminator.serve(fetch.held(), fetch.digest(), milliseconds.getAsLong()));
            case ControlMessage.Push push ->
                new ControlMessage.Pushed(disseminator.receive(push.sender(), push.update()));
            case ControlMessage.Recollect recollect ->
                new ControlMessage.Recollected(reportVersions(recollect.asker()));
            default -> new ControlMessage.NotUnderstood("not a question about versions");
        };
    }

    private PeerVersionReport reportVersions(NodeId requester) {
        PeerVersionReport report = disseminator.reportVersions(self, recovery.isReady());
        ConfigurationVersion highestKnown = highestKnownVersion.apply(requester);
        return new PeerVersionReport(
                self, report.isReady(), report.held(), ConfigurationVersion.newest(report.newestKnown(), highestKnown));
    }
}
