package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.oleanderturn.distribution.ConfigurationTransport;
import org.oleanderturn.distribution.ConfigurationUpdate;
import org.oleanderturn.distribution.PeerFailure;
import org.oleanderturn.distribution.PeerVersionReport;
import org.oleanderturn.distribution.PushResponse;
import org.oleanderturn.membership.GossipMessage;
import org.oleanderturn.membership.GossipTransport;
import org.oleanderturn.mesh.TargetCondition;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.DrainOutcome;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.traffic.CrashSuspicion;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.traffic.QuarantineRecord;
import org.oleanderturn.traffic.TokenAnswer;
import org.oleanderturn.traffic.TokenRequest;
import org.oleanderturn.wire.Frame;
import org.oleanderturn.wire.WireFailure;

/**
 * Sends control messages to other nodes.
 *
 * <p>Invariant: every call ends within its timeout. Blocks the calling thread, except where stated. Thread safe.
 */
final class ControlChannel
        implements GossipTransport, ConfigurationTransport, VersionReportTransport, RelayTransport, TokenTransport {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);
    private static final Duration INDIRECT_PROBE_TIMEOUT = Duration.ofMillis(1_200);
    private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(3);

    private final FrameCaller caller;
    private final Executor executor;
    private final Address self;
    private final ControlFrames frames = new ControlFrames();

    /** The peers whose last answer said that they read compressed frames; one entry for each peer that was called. */
    private final Set<Address> compressionReaders = ConcurrentHashMap.newKeySet();

    private final ConfigurationTraffic traffic = new ConfigurationTraffic();

    private ControlChannel(FrameCaller caller, Executor executor, Address self) {
        this.caller = caller;
        this.executor = executor;
        this.self = self;
    }

    /**
     * Returns a channel.
     *
     * @param executor runs calls to several nodes in parallel
     * @param self this node's control address, as other nodes reach it
     */
    static ControlChannel of(FrameCaller caller, Executor executor, Address self) {
        Objects.requireNonNull(caller, "caller is null");
        Objects.requireNonNull(executor, "executor is null");
        Objects.requireNonNull(self, "self is null");
        return new ControlChannel(caller, executor, self);
    }

    /** Returns the executor that runs calls to several nodes in parallel. */
    Executor executor() {
        return executor;
    }

    /** Returns the counts of this channel's messages about configurations, and of the answers to them. */
    ConfigurationTraffic traffic() {
        return traffic;
    }

    // -- membership

    @Override
    public Either<org.oleanderturn.membership.GossipFailure, GossipMessage> exchange(
            Address controlAddress, GossipMessage message) {
        Duration timeout = message instanceof GossipMessage.PingRequest ? INDIRECT_PROBE_TIMEOUT : PROBE_TIMEOUT;
        return call(controlAddress, new ControlMessage.Membership(message), timeout)
                .mapLeft(failure -> gossipFailure(controlAddress, failure))
                .flatMap(answer -> answer instanceof ControlMessage.Membership membership
                        ? Either.right(membership.message())
                        : Either.left(new org.oleanderturn.membership.GossipFailure.Malformed(
                                controlAddress, answer.toString())));
    }

    @Override
    public List<Either<org.oleanderturn.membership.GossipFailure, GossipMessage>> exchangeAll(
            List<Address> controlAddresses, GossipMessage message) {
        List<CompletableFuture<Either<org.oleanderturn.membership.GossipFailure, GossipMessage>>> pending =
                new ArrayList<>();
        for (Address address : controlAddresses) {
            pending.add(CompletableFuture.supplyAsync(() -> exchange(address, message), executor));
        }
        return pending.stream().map(CompletableFuture::join).toList();
    }

    @Override
    public void push(List<Address> controlAddresses, GossipMessage message) {
        for (Address address : controlAddresses) {
            executor.execute(() -> exchange(address, message)
                    .peekLeft(failure -> log.atFine().log("announcement failed: %s", failure)));
        }
    }

    // -- configuration

    @Override
    public Either<PeerFailure, ConfigurationUpdate> fetch(Address peer, ConfigurationVersion held, Digest heldDigest) {
        return call(peer, new ControlMessage.Fetch(held, heldDigest), TRANSFER_TIMEOUT)
                .mapLeft(ControlChannel::peerFailure)
                .flatMap(answer -> answer instanceof ControlMessage.Update update
                        ? Either.right(update.update())
                        : Either.left(new PeerFailure.Malformed(answer.toString())));
    }

    @Override
    public Either<PeerFailure, PushResponse> push(Address peer, ConfigurationUpdate update) {
        return call(peer, new ControlMessage.Push(self, update), TRANSFER_TIMEOUT)
                .mapLeft(ControlChannel::peerFailure)
                .flatMap(answer -> answer instanceof ControlMessage.Pushed pushed
                        ? Either.right(pushed.answer())
                        : Either.left(new PeerFailure.Malformed(answer.toString())));
    }

    private Either<ControlFailure, PeerVersionReport> requestVersionReport(Address peer, NodeId requester) {
        return call(peer, new ControlMessage.Recollect(requester), PROBE_TIMEOUT)
                .flatMap(answer -> answer instanceof ControlMessage.Recollected recollected
                        ? Either.right(recollected.recollection())
                        : Either.left(new ControlFailure.Malformed(answer.toString())));
    }

    @Override
    public List<Either<ControlFailure, PeerVersionReport>> requestVersionReports(
            List<Address> peers, NodeId requester) {
        List<CompletableFuture<Either<ControlFailure, PeerVersionReport>>> pending = new ArrayList<>();
        for (Address peer : peers) {
            pending.add(CompletableFuture.supplyAsync(() -> requestVersionReport(peer, requester), executor));
        }
        return pending.stream().map(CompletableFuture::join).toList();
    }

    @Override
    public Either<ControlFailure, RelayReport> askRelay(Address relay, boolean isConfirmationNeeded) {
        return call(relay, new ControlMessage.AskRelay(isConfirmationNeeded), PROBE_TIMEOUT)
                .flatMap(answer -> answer instanceof ControlMessage.RelayAnswer relayAnswer
                        ? Either.right(relayAnswer.report())
                        : Either.left(new ControlFailure.Malformed(answer.toString())));
    }

    // -- commands to one node

    /** Requests that a node drains its target, or ends the drain. */
    Either<ControlFailure, DrainOutcome> drain(Address peer, boolean isDraining) {
        return call(peer, new ControlMessage.Drain(isDraining), TRANSFER_TIMEOUT)
                .flatMap(answer -> answer instanceof ControlMessage.Drained drained
                        ? Either.right(drained.outcome())
                        : Either.left(new ControlFailure.Malformed(answer.toString())));
    }

    /**
     * Sends a quarantine record to the given nodes; returns once each has answered or timed out.
     *
     * <p>Blocking matters: a caller that gets its response only then, and retries at once, reaches nodes that already know
     * the record.
     */
    void announceQuarantine(List<Address> peers, QuarantineRecord record) {
        CompletableFuture<?>[] calls = peers.stream()
                .map(peer -> CompletableFuture.runAsync(() -> announceQuarantine(peer, record), executor))
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(calls).join();
    }

    /** Sends a target's load to the given nodes without waiting; a lost message is superseded by the next one. */
    void sendLoad(List<Address> peers, NodeId node, LoadReport report) {
        Frame frame = frame(new ControlMessage.Load(node, report));
        for (Address peer : peers) {
            executor.execute(() -> call(peer, frame, PROBE_TIMEOUT)
                    .peekLeft(failure -> log.atFine().log("load was not sent to %s: %s", peer, failure)));
        }
    }

    /** Reports to the judge of rollouts and returns its directives; empty if it does not know the orders. */
    Either<ControlFailure, Optional<List<RolloutDirective>>> reportRollouts(
            Address peer, ControlMessage.RolloutReports reports) {
        return call(peer, reports, PROBE_TIMEOUT).flatMap(answer -> switch (answer) {
            case ControlMessage.RolloutDirectives known -> Either.right(Optional.of(known.directives()));
            case ControlMessage.Noted _ -> Either.right(Optional.empty());
            default -> Either.left(new ControlFailure.Malformed(answer.toString()));
        });
    }

    /** Sends what is known of requests under which targets have ended to the given nodes without waiting. */
    void sendSuspicions(List<Address> peers, List<CrashSuspicion> suspicions) {
        Frame frame = frame(new ControlMessage.Suspicions(suspicions));
        for (Address peer : peers) {
            executor.execute(() -> call(peer, frame, PROBE_TIMEOUT)
                    .peekLeft(failure -> log.atFine().log("suspicions were not sent to %s: %s", peer, failure)));
        }
    }

    /** Sends one suspicion to a node and waits until it has acknowledged it. */
    Either<ControlFailure, ControlMessage> sendSuspicion(Address peer, CrashSuspicion suspicion) {
        return call(peer, new ControlMessage.Suspicions(List.of(suspicion)), PROBE_TIMEOUT)
                .filterOrElse(
                        ControlMessage.Noted.class::isInstance,
                        answer -> new ControlFailure.Malformed(answer.toString()));
    }

    /**
     * Asks a node for what it knows of requests under which targets have ended.
     *
     * @param digest that of what this node knows
     * @return empty if the node knows the same
     */
    Either<ControlFailure, Optional<List<CrashSuspicion>>> compareSuspicions(Address peer, long digest) {
        return call(peer, new ControlMessage.CompareSuspicions(digest), PROBE_TIMEOUT)
                .flatMap(answer -> switch (answer) {
                    case ControlMessage.Noted _ -> Either.right(Optional.empty());
                    case ControlMessage.Suspicions known -> Either.right(Optional.of(known.suspicions()));
                    default -> Either.left(new ControlFailure.Malformed(answer.toString()));
                });
    }

    /** Sends what is known of what targets ask of the nodes to the given nodes without waiting. */
    void sendConditions(List<Address> peers, List<TargetCondition> conditions) {
        Frame frame = frame(new ControlMessage.Conditions(conditions));
        for (Address peer : peers) {
            executor.execute(() -> call(peer, frame, PROBE_TIMEOUT)
                    .peekLeft(failure -> log.atFine().log("conditions were not sent to %s: %s", peer, failure)));
        }
    }

    /**
     * Asks a node for what it knows of what targets ask of the nodes.
     *
     * @param digest that of what this node knows
     * @return empty if the node knows the same
     */
    Either<ControlFailure, Optional<List<TargetCondition>>> compareConditions(Address peer, long digest) {
        return call(peer, new ControlMessage.CompareConditions(digest), PROBE_TIMEOUT)
                .flatMap(answer -> switch (answer) {
                    case ControlMessage.Noted _ -> Either.right(Optional.empty());
                    case ControlMessage.Conditions known -> Either.right(Optional.of(known.conditions()));
                    default -> Either.left(new ControlFailure.Malformed(answer.toString()));
                });
    }

    @Override
    public Either<ControlFailure, TokenAnswer> takeTokens(Address holder, TokenRequest request, Duration timeout) {
        return call(holder, new ControlMessage.Take(request), timeout)
                .flatMap(answer -> answer instanceof ControlMessage.Taken taken
                        ? Either.right(taken.answer())
                        : Either.left(new ControlFailure.Malformed(answer.toString())));
    }

    private void announceQuarantine(Address peer, QuarantineRecord record) {
        call(peer, new ControlMessage.Convict(record), PROBE_TIMEOUT)
                .peekLeft(failure -> log.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                        "quarantine record was not sent to %s: %s", peer, failure));
    }

    // -- frames

    private Either<ControlFailure, ControlMessage> call(Address peer, ControlMessage message, Duration timeout) {
        Frame request = frames.encode(message, compressionReaders.contains(peer));
        traffic.addSent(message, request.payload().length);
        return call(peer, request, timeout);
    }

    /** Encodes a message that goes to several nodes, of which it carries no configuration. */
    private Frame frame(ControlMessage message) {
        return frames.encode(message, false);
    }

    private Either<ControlFailure, ControlMessage> call(Address peer, Frame request, Duration timeout) {
        return caller.call(peer, request, timeout)
                .mapLeft(ControlChannel::controlFailure)
                .peek(answer -> recordReader(peer, answer))
                .flatMap(frame -> ControlFrames.decode(frame)
                        .peek(answer -> traffic.addReceived(answer, frame.payload().length))
                        .mapLeft(failure -> new ControlFailure.Malformed(failure.toString())));
    }

    private void recordReader(Address peer, Frame answer) {
        if (ControlFrames.readsCompressed(answer)) {
            compressionReaders.add(peer);
        } else {
            compressionReaders.remove(peer);
        }
    }

    private static ControlFailure controlFailure(WireFailure failure) {
        return switch (failure) {
            case WireFailure.Unreachable _, WireFailure.BindFailed _ ->
                new ControlFailure.Unreachable(failure.toString());
            case WireFailure.AnswerLost _, WireFailure.TimedOut _ -> new ControlFailure.AnswerLost(failure.toString());
            case WireFailure.Oversize _, WireFailure.Malformed _, WireFailure.Refused _ ->
                new ControlFailure.Malformed(failure.toString());
        };
    }

    private static PeerFailure peerFailure(ControlFailure failure) {
        return switch (failure) {
            case ControlFailure.Unreachable unreachable -> new PeerFailure.Unreachable(unreachable.reason());
            case ControlFailure.AnswerLost _ -> new PeerFailure.TimedOut();
            case ControlFailure.Malformed malformed -> new PeerFailure.Malformed(malformed.reason());
        };
    }

    private static org.oleanderturn.membership.GossipFailure gossipFailure(Address peer, ControlFailure failure) {
        return switch (failure) {
            case ControlFailure.Unreachable unreachable ->
                new org.oleanderturn.membership.GossipFailure.Unreachable(peer, unreachable.reason());
            case ControlFailure.AnswerLost lost ->
                new org.oleanderturn.membership.GossipFailure.AnswerLost(peer, lost.reason());
            case ControlFailure.Malformed malformed ->
                new org.oleanderturn.membership.GossipFailure.Malformed(peer, malformed.reason());
        };
    }
}
