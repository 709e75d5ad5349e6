package org.oleanderturn.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows the outcome of a proposal. Used by one thread. */
@Command
final class ChangeQuery implements Operation {
    @Parameters(paramLabel = "ID", description = "The proposal's id.")
    private String proposalId;

    @Override
    public ExitStatus run(ExecutionContext context) {
        Console console = context.console();
        return ProposalOptions.parseId(proposalId)
                .flatMap(id -> context.client().flatMap(client -> client.outcome(id)))
                .fold(console::writeFailure, outcome -> {
                    console.writeResult(outcome, () -> TextFormatter.format(outcome));
                    return ExitStatus.of(outcome);
                });
    }
}
