package org.oleanderturn.command;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationCheck;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.model.DrainOutcome;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OperatorPaths;
import org.oleanderturn.model.PlacementExplanation;
import org.oleanderturn.model.PlacementQuestion;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.Refusal;

/**
 * Sends an operator's request to several nodes, in the given order, until one gives a usable response.
 *
 * <p>Invariant: a request that changes something is sent to each node at most once; a proposal keeps its id, so that it
 * is applied only once. Immutable and thread safe.
 */
public final class FailoverClient {
    private static final byte[] EMPTY_BODY = new byte[0];

    private final List<Address> addresses;
    private final OperatorClient client;

    private FailoverClient(List<Address> addresses, OperatorClient client) {
        this.addresses = addresses;
        this.client = client;
    }

    /** Returns a client for the nodes at the given addresses. */
    public static FailoverClient of(List<Address> addresses, OperatorClient client) {
        Objects.requireNonNull(client, "client is null");
        return new FailoverClient(List.copyOf(addresses), client);
    }

    // -- queries

    /** Returns the first response that decodes to the given type; the failures of all nodes when there is none. */
    public <T> Either<CommandFailure, T> fetch(String path, Class<T> type) {
        return firstDecoded(node -> client.get(node, path), type);
    }

    /** Returns a node's check of a configuration, which lists its faults; nothing is changed. */
    public Either<CommandFailure, ConfigurationCheck> check(Configuration configuration) {
        byte[] body = Codec.json().encode(configuration);
        return firstDecoded(node -> client.post(node, OperatorPaths.CHECK, body), ConfigurationCheck.class);
    }

    /** Returns where the first node that answers would send a request; the request is not sent. */
    public Either<CommandFailure, PlacementExplanation> explainPlacement(PlacementQuestion question) {
        byte[] body = Codec.json().encode(question);
        return firstDecoded(node -> client.post(node, OperatorPaths.PLACEMENT, body), PlacementExplanation.class);
    }

    /** Returns the outcome of a proposal, querying nodes until one reports a final outcome. */
    public Either<CommandFailure, ChangeOutcome> outcome(ProposalId id) {
        return queryOutcome(ChangeOutcomeAccumulator.of(id), id).result();
    }

    // -- commands

    /**
     * Submits a proposal to one node after another until its outcome is final, every node was tried, or a node refuses it
     * for a reason that holds on every node. After the first undetermined outcome, the nodes are queried for the outcome.
     */
    public Either<CommandFailure, ChangeOutcome> propose(Proposal proposal) {
        byte[] body = Codec.json().encode(proposal);
        ChangeOutcomeAccumulator accumulator = ChangeOutcomeAccumulator.of(proposal.id());
        boolean isOutcomeQueried = false;
        for (Address node : addresses) {
            accumulator = accumulator.withSubmissionResult(
                    decodeOutcome(node, client.post(node, OperatorPaths.CHANGES, body), proposal.id()));
            if (accumulator.isUndetermined() && !isOutcomeQueried) {
                isOutcomeQueried = true;
                accumulator = queryOutcome(accumulator, proposal.id());
            }
            if (accumulator.isFinal() || isRefusalIndependentOfNode(accumulator)) {
                break;
            }
        }
        return accumulator.result();
    }

    /** Asks one node after another to start or end a drain until one has applied it or every node was tried. */
    public Either<CommandFailure, DrainOutcome> drain(String path, NodeId nodeId) {
        DrainOutcomeAccumulator accumulator = DrainOutcomeAccumulator.of(nodeId);
        for (Address node : addresses) {
            accumulator = accumulator.withResult(
                    decode(node, client.post(node, path + "/" + nodeId, EMPTY_BODY), DrainOutcome.class));
            if (accumulator.isFinal()) {
                break;
            }
        }
        return accumulator.result();
    }

    private <T> Either<CommandFailure, T> firstDecoded(
            Function<Address, Either<CommandFailure, byte[]>> exchange, Class<T> type) {
        List<CommandFailure> failures = new ArrayList<>();
        for (Address node : addresses) {
            Either<CommandFailure, T> response = decode(node, exchange.apply(node), type);
            if (response.isRight()) {
                return response;
            }
            failures.add(response.getLeft());
        }
        return Either.left(CommandFailure.NoNodeAnswered.of(failures));
    }

    private ChangeOutcomeAccumulator queryOutcome(ChangeOutcomeAccumulator initial, ProposalId id) {
        ChangeOutcomeAccumulator accumulator = initial;
        for (Address node : addresses) {
            accumulator = accumulator.withQueryResult(
                    decodeOutcome(node, client.get(node, OperatorPaths.CHANGES + "/" + id), id));
            if (accumulator.isFinal()) {
                return accumulator;
            }
        }
        return accumulator;
    }

    /** Returns whether a node refused the proposal for a reason that holds on every node, such as a version conflict. */
    private static boolean isRefusalIndependentOfNode(ChangeOutcomeAccumulator accumulator) {
        if (accumulator.isUndetermined()) {
            return false;
        }
        Optional<Refusal> refusal = accumulator.refusal();
        return refusal.isPresent() && !(refusal.get() instanceof Refusal.PlatformUnavailable);
    }

    private static Either<CommandFailure, ChangeOutcome> decodeOutcome(
            Address node, Either<CommandFailure, byte[]> response, ProposalId id) {
        return decode(node, response, ChangeOutcome.class).flatMap(outcome -> {
            if (outcome.id().equals(id)) {
                return Either.right(outcome);
            }
            DecodeFailure failure = DecodeFailure.of("id", "belongs to another proposal: " + outcome.id());
            return Either.left(new CommandFailure.MalformedAnswer(node, failure));
        });
    }

    private static <T> Either<CommandFailure, T> decode(
            Address node, Either<CommandFailure, byte[]> response, Class<T> type) {
        return response.flatMap(body -> Codec.json().decode(body, type).mapLeft(failure ->
                (CommandFailure) new CommandFailure.MalformedAnswer(node, failure)));
    }
}
