package org.oleanderturn.command;

import io.vavr.control.Either;
import org.oleanderturn.model.NodeId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The commands that drain a node and that end its drain. Used by one thread. */
@Command
final class DrainCommand implements Operation {
    private final String operatorPath;

    @Parameters(paramLabel = "NODE", description = "The node's id, as query proxies shows it.")
    private String node;

    DrainCommand(String operatorPath) {
        this.operatorPath = operatorPath;
    }

    @Override
    public ExitStatus run(Session session) {
        Console console = session.console();
        return parse(node)
                .flatMap(target -> session.nodes().flatMap(nodes -> nodes.drain(operatorPath, target)))
                .fold(console::fail, outcome -> {
                    console.answer(outcome, () -> Texts.of(outcome));
                    return ExitStatus.of(outcome);
                });
    }

    private static Either<CommandFailure, NodeId> parse(String text) {
        try {
            return Either.right(NodeId.of(text));
        } catch (IllegalArgumentException malformed) {
            return Either.left(new CommandFailure.MalformedValue("NODE", text, "a node id"));
        }
    }
}
