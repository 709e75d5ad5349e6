package org.oleanderturn.command;

import io.vavr.control.Either;
import org.oleanderturn.model.NodeId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Starts or ends the drain of one node, depending on the operator path. Used by one thread. */
@Command
final class DrainCommand implements Operation {
    private final String operatorPath;

    @Parameters(paramLabel = "NODE", description = "The node's id, as shown by query proxies.")
    private String node;

    DrainCommand(String operatorPath) {
        this.operatorPath = operatorPath;
    }

    @Override
    public ExitStatus run(ExecutionContext context) {
        Console console = context.console();
        return parseNodeId(node)
                .flatMap(nodeId -> context.client().flatMap(client -> client.drain(operatorPath, nodeId)))
                .fold(console::writeFailure, outcome -> {
                    console.writeResult(outcome, () -> TextFormatter.format(outcome));
                    return ExitStatus.of(outcome);
                });
    }

    private static Either<CommandFailure, NodeId> parseNodeId(String text) {
        try {
            return Either.right(NodeId.of(text));
        } catch (IllegalArgumentException malformed) {
            return Either.left(new CommandFailure.MalformedValue("NODE", text, "a node id"));
        }
    }
}
