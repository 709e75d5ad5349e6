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
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.Refusal;

/**
 * The nodes that an operator talks to, tried in the order given.
 *
 * <p>Invariant: a request that changes something goes to each node at most once, always under the same id. Immutable and
 * thread safe.
 */
public final class Nodes {
    private static final byte[] NO_BODY = new byte[0];

    private final List<Address> addresses;
    private final OperatorClient client;

    private Nodes(List<Address> addresses, OperatorClient client) {
        this.addresses = addresses;
        this.client = client;
    }

    /** Returns the nodes at the given addresses. */
    public static Nodes of(List<Address> addresses, OperatorClient client) {
        Objects.requireNonNull(client, "client is null");
        return new Nodes(List.copyOf(addresses), client);
    }

    // -- queries

    /** Returns the first answer that is whole and of the given type. */
    public <T> Either<CommandFailure, T> ask(String path, Class<T> type) {
        return first(node -> client.get(node, path), type);
    }

    /** Returns what a node finds wrong with a configuration. */
    public Either<CommandFailure, ConfigurationCheck> check(Configuration configuration) {
        byte[] body = Codec.json().encode(configuration);
        return first(node -> client.post(node, OperatorPaths.CHECK, body), ConfigurationCheck.class);
    }

    /** Returns what is known of a proposal, asking until some node knows for certain. */
    public Either<CommandFailure, ChangeOutcome> outcome(ProposalId id) {
        return askAll(OutcomeFold.of(id), id).result();
    }

    // -- commands

    /** Sends a proposal until its outcome is certain or each node was tried. */
    public Either<CommandFailure, ChangeOutcome> propose(Proposal proposal) {
        byte[] body = Codec.json().encode(proposal);
        OutcomeFold fold = OutcomeFold.of(proposal.id());
        boolean isAsked = false;
        for (Address node : addresses) {
            fold = fold.sent(outcome(node, client.post(node, OperatorPaths.CHANGES, body), proposal.id()));
            if (fold.isOpen() && !isAsked) {
                isAsked = true;
                fold = askAll(fold, proposal.id());
            }
            if (fold.isSettled() || isEndedBy(fold)) {
                break;
            }
        }
        return fold.result();
    }

    /** Asks for a drain or its end until its outcome is certain or each node was tried. */
    public Either<CommandFailure, DrainOutcome> drain(String path, NodeId target) {
        DrainFold fold = DrainFold.of(target);
        for (Address node : addresses) {
            fold = fold.sent(decoded(node, client.post(node, path + "/" + target, NO_BODY), DrainOutcome.class));
            if (fold.isSettled()) {
                break;
            }
        }
        return fold.result();
    }

    private <T> Either<CommandFailure, T> first(
            Function<Address, Either<CommandFailure, byte[]>> exchange, Class<T> type) {
        List<CommandFailure> failures = new ArrayList<>();
        for (Address node : addresses) {
            Either<CommandFailure, T> answer = decoded(node, exchange.apply(node), type);
            if (answer.isRight()) {
                return answer;
            }
            failures.add(answer.getLeft());
        }
        return Either.left(CommandFailure.NoNodeAnswered.of(failures));
    }

    private OutcomeFold askAll(OutcomeFold start, ProposalId id) {
        OutcomeFold fold = start;
        for (Address node : addresses) {
            fold = fold.asked(outcome(node, client.get(node, OperatorPaths.CHANGES + "/" + id), id));
            if (fold.isSettled()) {
                return fold;
            }
        }
        return fold;
    }

    /** Returns whether a node refused for a reason that another node would give too. */
    private static boolean isEndedBy(OutcomeFold fold) {
        if (fold.isOpen()) {
            return false;
        }
        Optional<Refusal> refusal = fold.refusal();
        return refusal.isPresent() && !(refusal.get() instanceof Refusal.PlatformUnavailable);
    }

    private static Either<CommandFailure, ChangeOutcome> outcome(
            Address node, Either<CommandFailure, byte[]> answer, ProposalId id) {
        return decoded(node, answer, ChangeOutcome.class).flatMap(outcome -> {
            if (outcome.id().equals(id)) {
                return Either.right(outcome);
            }
            DecodeFailure failure = DecodeFailure.of("id", "another proposal's id: " + outcome.id());
            return Either.left(new CommandFailure.MalformedAnswer(node, failure));
        });
    }

    private static <T> Either<CommandFailure, T> decoded(
            Address node, Either<CommandFailure, byte[]> answer, Class<T> type) {
        return answer.flatMap(body -> Codec.json().decode(body, type).mapLeft(failure ->
                (CommandFailure) new CommandFailure.MalformedAnswer(node, failure)));
    }
}
