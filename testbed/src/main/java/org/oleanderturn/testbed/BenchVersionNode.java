package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.oleanderturn.distribution.ConfigurationHolder;
import org.oleanderturn.distribution.ConfigurationTransport;
import org.oleanderturn.distribution.ConfigurationUpdate;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.distribution.PeerFailure;
import org.oleanderturn.distribution.PushResponse;
import org.oleanderturn.distribution.RelayRole;
import org.oleanderturn.distribution.SnapshotHistory;
import org.oleanderturn.distribution.UpdateSource;
import org.oleanderturn.mesh.RouteIndex;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.node.ControlMessage;
import org.oleanderturn.wire.Frame;

/**
 * The path of configuration versions through one node of the users' platform: reading or receiving, adoption, the index of
 * routes, and pushes to peers.
 *
 * <p>Runs the production components on the calling thread. Peers exist as addresses only: each push is encoded as a frame,
 * and the frame of an acknowledgement is decoded. Used by one thread.
 */
final class BenchVersionNode implements ConfigurationTransport {
    private static final int NODES = 128;
    private static final int PORT = 7_000;
    private static final int PEER_IN_OWN_ZONE = BenchLocalities.ZONES;
    private static final long SEED = 25;
    private static final String FRAME_KIND = "control";
    private static final int FRAME_PREFIX_BYTES = Integer.BYTES;

    private final ConfigurationHolder holder = ConfigurationHolder.empty();
    private final AtomicReference<RouteIndex> routes = new AtomicReference<>(RouteIndex.empty());
    private final Disseminator disseminator;
    private ConfigurationVersion peerVersion = ConfigurationVersion.none();
    private long sentBytes;
    private long receivedBytes;
    private int pushes;

    private BenchVersionNode(boolean isRelay) {
        List<Locality> zones = BenchLocalities.zones(BenchLocalities.ZONES);
        RelayRole role = _ -> isRelay ? OptionalInt.of(0) : OptionalInt.empty();
        SnapshotHistory history = SnapshotHistory.of(holder);
        holder.addPreparation(snapshot -> routes.set(RouteIndex.of(snapshot)));
        this.disseminator = Disseminator.of(
                holder,
                UpdateSource.of(holder, history),
                this,
                () -> peers(zones),
                role,
                zones.getFirst(),
                BenchLocalities.PLATFORM_REGION,
                Runnable::run,
                new SplittableRandom(SEED));
    }

    /** Returns a node in a fleet of 128 nodes whose peers are known to hold the same version as it does. */
    static BenchVersionNode holding(ConfigurationSnapshot snapshot, boolean isRelay) {
        BenchVersionNode node = new BenchVersionNode(isRelay);
        var _ = node.holder.adopt(snapshot);
        node.peerVersion = snapshot.version();
        node.disseminate();
        node.sentBytes = 0;
        node.receivedBytes = 0;
        node.pushes = 0;
        return node;
    }

    // -- frames

    /** Returns the frame by which a peer of the own zone pushes an update. */
    static byte[] pushFrame(ConfigurationUpdate update) {
        return encode(new ControlMessage.Push(address(PEER_IN_OWN_ZONE), update));
    }

    /** Returns the frame by which a peer answers a fetch with an update. */
    static byte[] updateFrame(ConfigurationUpdate update) {
        return encode(new ControlMessage.Update(update));
    }

    static byte[] encode(ControlMessage message) {
        return Codec.messagePack()
                .encode(Frame.of(FRAME_KIND, Codec.messagePack().encode(message)));
    }

    static ControlMessage decode(byte[] encoded) {
        return Codec.messagePack()
                .decode(encoded, Frame.class)
                .flatMap(frame -> Codec.messagePack().decode(frame.payload(), ControlMessage.class))
                .getOrElseThrow(failure -> new IllegalStateException(failure.toString()));
    }

    /** Returns the bytes that a frame with the given encoding takes on a connection. */
    static long wireBytes(byte[] encoded) {
        return FRAME_PREFIX_BYTES + (long) encoded.length;
    }

    // -- steps

    /** Decodes a received frame. */
    ControlMessage receive(byte[] frame) {
        receivedBytes += wireBytes(frame);
        return decode(frame);
    }

    /** Adopts a snapshot and builds the index of its routes. */
    void adopt(ConfigurationSnapshot snapshot) {
        var _ = holder.adopt(snapshot);
    }

    /** Handles a received update and encodes the answer to a push. */
    void handle(ControlMessage message) {
        switch (message) {
            case ControlMessage.Push push ->
                sentBytes += wireBytes(
                        encode(new ControlMessage.Pushed(disseminator.receive(push.sender(), push.update()))));
            case ControlMessage.Update(ConfigurationUpdate.Snapshot(ConfigurationSnapshot snapshot)) -> adopt(snapshot);
            default -> throw new IllegalArgumentException("not a configuration update: " + message.getClass());
        }
    }

    /** Pushes the held version to peers. */
    void disseminate() {
        disseminator.disseminate(0);
    }

    // -- queries

    ConfigurationVersion version() {
        return holder.version();
    }

    int indexedRoutes() {
        return routes.get().snapshot().configuration().routes().size();
    }

    long sentBytes() {
        return sentBytes;
    }

    long receivedBytes() {
        return receivedBytes;
    }

    int pushes() {
        return pushes;
    }

    // -- transport

    @Override
    public Either<PeerFailure, ConfigurationUpdate> fetch(Address peer, ConfigurationVersion held, Digest heldDigest) {
        return Either.left(new PeerFailure.TimedOut());
    }

    @Override
    public Either<PeerFailure, PushResponse> push(Address peer, ConfigurationUpdate update) {
        pushes++;
        sentBytes += wireBytes(encode(new ControlMessage.Push(address(0), update)));
        byte[] answer = encode(new ControlMessage.Pushed(new PushResponse.AlreadyHeld(holder.version())));
        receivedBytes += wireBytes(answer);
        return decode(answer) instanceof ControlMessage.Pushed(PushResponse response)
                ? Either.right(response)
                : Either.left(new PeerFailure.TimedOut());
    }

    // -- helpers

    private List<Peer> peers(List<Locality> zones) {
        List<Peer> peers = new ArrayList<>();
        IntStream.range(1, NODES)
                .mapToObj(number -> new Peer(
                        NodeId.of("node-" + number),
                        address(number),
                        zones.get(number % zones.size()),
                        peerVersion,
                        true))
                .forEach(peers::add);
        return peers;
    }

    private static Address address(int number) {
        return Address.of("127.0.0.1", PORT + number);
    }
}
