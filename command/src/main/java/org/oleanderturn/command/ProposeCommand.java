package org.oleanderturn.command;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.OperatorPaths;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProxyStatus;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * The commands that propose a configuration: declarations, or an older configuration that was saved.
 *
 * <p>Used by one thread.
 */
@Command
final class ProposeCommand implements Operation {
    private final Function<Path, Either<CommandFailure, Configuration>> reader;

    @Parameters(paramLabel = "FILE|FOLDER", description = "A file, or a folder of declaration files.")
    private Path path;

    @Mixin
    private ProposalOptions options = new ProposalOptions();

    private ProposeCommand(Function<Path, Either<CommandFailure, Configuration>> reader) {
        this.reader = reader;
    }

    /** Returns the command that proposes declarations. */
    static ProposeCommand ofDeclarations() {
        return new ProposeCommand(DeclarationFolder::read);
    }

    /** Returns the command that proposes a saved configuration again, under a new version. */
    static ProposeCommand ofSaved() {
        return new ProposeCommand(DeclarationFolder::readSaved);
    }

    @Override
    public ExitStatus run(Session session) {
        return reader.apply(path)
                .flatMap(configuration ->
                        options.proposal(configuration, session.environment().random()))
                .flatMap(proposal -> session.nodes().map(nodes -> submit(session, nodes, proposal)))
                .fold(session.console()::fail, Function.identity());
    }

    private ExitStatus submit(Session session, Nodes nodes, Proposal proposal) {
        Console console = session.console();
        console.progress("proposal id " + proposal.id());
        Either<CommandFailure, ChangeOutcome> outcome = nodes.propose(proposal);
        if (outcome.isLeft()) {
            return console.fail(outcome.getLeft());
        }
        if (options.isWaiting() && outcome.get() instanceof ChangeOutcome.Accepted accepted) {
            return await(session, nodes, accepted);
        }
        ProposalReport report = new ProposalReport(outcome.get(), Optional.empty());
        console.answer(report, () -> Texts.of(report.outcome()));
        return ExitStatus.of(outcome.get());
    }

    private ExitStatus await(Session session, Nodes nodes, ChangeOutcome.Accepted accepted) {
        Console console = session.console();
        console.progress(Texts.of(accepted));
        CommandEnvironment environment = session.environment();
        Convergence convergence = ConvergenceWait.of(environment.clockMilliseconds(), environment.pause())
                .until(
                        accepted.version(),
                        options.waitTimeoutMilliseconds(),
                        () -> nodes.ask(OperatorPaths.PROXIES, ProxyStatus[].class)
                                .map(List::of));
        ProposalReport report = new ProposalReport(accepted, Optional.of(convergence));
        console.answer(report, convergence::describe);
        return convergence.isInForce() ? ExitStatus.OK : ExitStatus.NOT_IN_FORCE;
    }
}
