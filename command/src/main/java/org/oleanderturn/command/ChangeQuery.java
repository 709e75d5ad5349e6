package org.oleanderturn.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The query for what became of a proposal. Used by one thread. */
@Command
final class ChangeQuery implements Operation {
    @Parameters(paramLabel = "ID", description = "The proposal's id.")
    private String proposalId;

    @Override
    public ExitStatus run(Session session) {
        Console console = session.console();
        return ProposalOptions.parseId(proposalId)
                .flatMap(id -> session.nodes().flatMap(nodes -> nodes.outcome(id)))
                .fold(console::fail, outcome -> {
                    console.answer(outcome, () -> Texts.of(outcome));
                    return ExitStatus.of(outcome);
                });
    }
}
