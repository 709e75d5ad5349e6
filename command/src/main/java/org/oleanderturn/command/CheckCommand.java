package org.oleanderturn.command;

import io.vavr.control.Either;
import java.nio.file.Path;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationCheck;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks declarations locally and, if a node is given, also on that node; changes nothing. Used by one thread. */
@Command
final class CheckCommand implements Operation {
    @Parameters(paramLabel = "FILE|FOLDER", description = "A declaration file, or a folder of declaration files.")
    private Path path;

    @Override
    public ExitStatus run(ExecutionContext context) {
        Console console = context.console();
        return DeclarationReader.read(path)
                .flatMap(configuration -> check(context, configuration))
                .fold(console::writeFailure, check -> {
                    console.writeResult(check, () -> describe(check, context));
                    return check.faults().isEmpty() ? ExitStatus.OK : ExitStatus.REFUSED;
                });
    }

    private static Either<CommandFailure, ConfigurationCheck> check(
            ExecutionContext context, Configuration configuration) {
        ConfigurationCheck local = ConfigurationCheck.of(configuration);
        if (!local.faults().isEmpty() || context.settings().nodes().isEmpty()) {
            return Either.right(local);
        }
        return context.client().flatMap(client -> client.check(configuration));
    }

    private static String describe(ConfigurationCheck check, ExecutionContext context) {
        if (!check.faults().isEmpty()) {
            return "the configuration is invalid:" + System.lineSeparator()
                    + TextFormatter.formatFaults(check.faults());
        }
        return context.settings().nodes().isEmpty()
                ? "no faults found (checked locally)"
                : "no faults found (checked by a node)";
    }
}
