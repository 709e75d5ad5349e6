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
 * Proposes a configuration that is read from declarations or from a saved snapshot.
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
    static ProposeCommand forDeclarations() {
        return new ProposeCommand(DeclarationReader::read);
    }

    /** Returns the command that proposes a saved configuration again, as a new version. */
    static ProposeCommand forSavedConfiguration() {
        return new ProposeCommand(DeclarationReader::readSavedConfiguration);
    }

    @Override
    public ExitStatus run(ExecutionContext context) {
        return reader.apply(path)
                .flatMap(configuration -> options.createProposal(
                        configuration, context.environment().random()))
                .flatMap(proposal -> context.client().map(client -> submit(context, client, proposal)))
                .fold(context.console()::writeFailure, Function.identity());
    }

    private ExitStatus submit(ExecutionContext context, FailoverClient client, Proposal proposal) {
        Console console = context.console();
        console.writeProgress("proposal id " + proposal.id());
        Either<CommandFailure, ChangeOutcome> outcome = client.propose(proposal);
        if (outcome.isLeft()) {
            return console.writeFailure(outcome.getLeft());
        }
        if (options.isWaitRequested() && outcome.get() instanceof ChangeOutcome.Accepted accepted) {
            return awaitConvergence(context, client, accepted);
        }
        ProposalReport report = new ProposalReport(outcome.get(), Optional.empty());
        console.writeResult(report, () -> TextFormatter.format(report.outcome()));
        return ExitStatus.of(outcome.get());
    }

    private ExitStatus awaitConvergence(
            ExecutionContext context, FailoverClient client, ChangeOutcome.Accepted accepted) {
        Console console = context.console();
        console.writeProgress(TextFormatter.format(accepted));
        CommandEnvironment environment = context.environment();
        Convergence convergence = ConvergencePoller.of(environment.clockMilliseconds(), environment.sleeper())
                .awaitConvergence(
                        accepted.version(),
                        options.waitTimeoutMilliseconds(),
                        () -> client.fetch(OperatorPaths.PROXIES, ProxyStatus[].class)
                                .map(List::of));
        ProposalReport report = new ProposalReport(accepted, Optional.of(convergence));
        console.writeResult(report, convergence::describe);
        return convergence.isInForce() ? ExitStatus.OK : ExitStatus.NOT_IN_FORCE;
    }
}
