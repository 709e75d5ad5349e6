package org.oleanderturn.node;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.zip.InflaterInputStream;
import org.oleanderturn.distribution.ConfigurationUpdate;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.wire.Frame;

/** A host of a {@link ConfigurationFleet}: its links, its core, and the lives of its node. Used by one task at a time. */
final class ConfigurationHost {
    private static final Logger LOGGER = Logger.getLogger("org.oleanderturn");

    /** Processor time of a whole core, as the third of equal runs took in a new JVM for deltas of 1,600 routes. */
    private static final long ENCODING_NANOSECONDS_PER_BYTE = 20;

    private static final long DECODING_NANOSECONDS_PER_BYTE = 35;
    private static final long PARSING_NANOSECONDS_PER_BYTE = 10;
    private static final long READING_NANOSECONDS_PER_BYTE = 100;

    /** For a byte of the content, measured in the same way with the fastest level of Deflater, and with Inflater. */
    private static final long COMPRESSING_NANOSECONDS_PER_BYTE = 5;

    private static final long DECOMPRESSING_NANOSECONDS_PER_BYTE = 5;
    private static final long ADOPTING_NANOSECONDS_PER_ROUTE = 18_000;

    static {
        // Every simulated node would log each version.
        LOGGER.setLevel(Level.OFF);
    }

    private final ControlFrames frames = new ControlFrames();

    /** Frames that need not be encoded again, as the product keeps them. */
    private final IdentityHashMap<Frame, Boolean> encodedFrames = new IdentityHashMap<>();

    private final ConfigurationFleet fleet;
    private final int number;
    private final NodeSettings settings;
    private final SimulatedLink uplink;
    private final SimulatedLink downlink;
    private final SimulatedCore core;
    private Optional<ConfigurationNode> node = Optional.empty();
    private int life;
    private boolean isStopping;
    private boolean isDark;
    private long disturbedNanoseconds;

    ConfigurationHost(
            ConfigurationFleet fleet, int number, ConfigurationFleet.Shape shape, ConfigurationFleet.Machine machine) {
        this.fleet = fleet;
        this.number = number;
        this.settings =
                SimulatedSettings.of(number, "node-%03d".formatted(number), shape.zones(), ServiceName.of("orders"));
        this.uplink = new SimulatedLink(machine.megabitsPerSecond() / shape.reduction());
        this.downlink = new SimulatedLink(machine.megabitsPerSecond() / shape.reduction());
        this.core = new SimulatedCore(machine.cores() / shape.reduction());
    }

    // -- queries

    int number() {
        return number;
    }

    /** Returns the number of the present or last life of the node. */
    int life() {
        return life;
    }

    NodeSettings settings() {
        return settings;
    }

    SimulatedLink uplink() {
        return uplink;
    }

    SimulatedLink downlink() {
        return downlink;
    }

    Optional<ConfigurationNode> node() {
        return node;
    }

    boolean isNodeUp() {
        return node.isPresent();
    }

    /** Returns whether the machine has no power, so that nothing refuses connections to it. */
    boolean isDark() {
        return isDark;
    }

    /** Returns whether the node runs and nothing has disturbed it since the given moment. */
    boolean isUndisturbedSince(long nanoseconds) {
        return node.isPresent() && !isStopping && disturbedNanoseconds <= nanoseconds;
    }

    ConfigurationVersion heldVersion() {
        return node.map(ConfigurationNode::heldVersion).orElse(ConfigurationVersion.none());
    }

    // -- node

    void startNode() {
        if (node.isEmpty()) {
            life++;
            isStopping = false;
            isDark = false;
            disturb();
            node = Optional.of(new ConfigurationNode(fleet, this));
            node.get().start();
            fleet.discovery().join(this);
        }
    }

    /** Marks the node as stopping; it serves on until it is ended. */
    void beginStop() {
        isStopping = true;
        disturb();
    }

    void endNode() {
        if (node.isPresent()) {
            node.get().life().end();
            node = Optional.empty();
            disturb();
            fleet.discovery().reviewLater(this);
        }
    }

    /** Ends the node; what is sent to it gets no answer until it is started again, and membership notices nothing. */
    void losePower() {
        node.orElseThrow().life().end();
        node = Optional.empty();
        isDark = true;
        disturb();
    }

    /** Records that the node or something it needs is disturbed. */
    void disturb() {
        disturbedNanoseconds = fleet.time().nanoseconds();
    }

    // -- work of the core

    /** Blocks the calling task until the core has encoded a message, unless the node kept its frame. */
    void encode(Frame frame) {
        if (!frame.kind().equals(ControlFrames.COMPRESSED_KIND)) {
            work(ENCODING_NANOSECONDS_PER_BYTE * frame.payload().length);
        } else if (encodedFrames.put(frame, true) == null) {
            work((ENCODING_NANOSECONDS_PER_BYTE + COMPRESSING_NANOSECONDS_PER_BYTE) * contentBytes(frame));
        }
    }

    private void workToDecode(Frame frame) {
        boolean isCompressed = frame.kind().equals(ControlFrames.COMPRESSED_KIND);
        work((DECODING_NANOSECONDS_PER_BYTE + (isCompressed ? DECOMPRESSING_NANOSECONDS_PER_BYTE : 0))
                * contentBytes(frame));
    }

    private static int contentBytes(Frame frame) {
        if (!frame.kind().equals(ControlFrames.COMPRESSED_KIND)) {
            return frame.payload().length;
        }
        try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(frame.payload()))) {
            return inflater.readAllBytes().length;
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    /** Blocks the calling task until the core has decoded an answer, and has adopted the update in it. */
    void decode(Frame frame) {
        workToDecode(frame);
        ControlMessage message = message(frame);
        if (message instanceof ControlMessage.Update update) {
            work(adoptionTime(offered(update.update())));
        }
    }

    /** Blocks the calling task until the core has parsed an answer of the store. */
    void parse(long bytes) {
        work(PARSING_NANOSECONDS_PER_BYTE * bytes);
    }

    /** Blocks the calling task until the core has read and adopted a value of the store. */
    void readValue(OperatorVersions.Version version) {
        work(READING_NANOSECONDS_PER_BYTE * version.value().length);
        work(adoptionTime(ConfigurationVersion.of(version.number())));
    }

    /** Handles a message once the core has decoded it and, if need be, adopted the update in it. */
    void handle(Frame request, Consumer<Frame> onAnswer) {
        SimulatedTime.Life present = node.orElseThrow().life();
        fleet.time().start(Duration.ZERO, present, () -> {
            workToDecode(request);
            ControlMessage message = message(request);
            if (message instanceof ControlMessage.Push push) {
                work(adoptionTime(offered(push.update())));
            }
            ControlMessage answer = node.orElseThrow().answer(message);
            Frame frame = frames.encode(answer, ControlFrames.readsCompressed(request));
            encode(frame);
            onAnswer.accept(frame);
        });
    }

    private void work(long processorTime) {
        long now = fleet.time().nanoseconds();
        long end = core.finish(now, processorTime);
        if (end > now) {
            fleet.time().sleep(Duration.ofNanos(end - now));
        }
    }

    private long adoptionTime(ConfigurationVersion offered) {
        boolean isAdopted =
                node.filter(present -> present.beginAdoption(offered)).isPresent();
        return isAdopted ? ADOPTING_NANOSECONDS_PER_ROUTE * fleet.routeCount(offered) : 0;
    }

    private static ControlMessage message(Frame frame) {
        return ControlFrames.decode(frame).get();
    }

    private static ConfigurationVersion offered(ConfigurationUpdate update) {
        return switch (update) {
            case ConfigurationUpdate.Delta delta -> delta.delta().to();
            case ConfigurationUpdate.Snapshot snapshot -> snapshot.snapshot().version();
            case ConfigurationUpdate.Current _, ConfigurationUpdate.Busy _ -> ConfigurationVersion.none();
        };
    }
}
