package org.oleanderturn.command;

import java.nio.file.Path;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.OperatorPaths;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Compares declarations with the configuration in force. Used by one thread. */
@Command
final class DiffQuery implements Operation {
    @Parameters(paramLabel = "FOLDER", description = "A declaration file, or a folder of declaration files.")
    private Path path;

    @Override
    public ExitStatus run(ExecutionContext context) {
        Console console = context.console();
        return DeclarationReader.read(path)
                .flatMap(declared -> context.client()
                        .flatMap(client -> client.fetch(OperatorPaths.CONFIGURATION, ConfigurationSnapshot.class))
                        .map(snapshot -> ConfigurationDifference.between(
                                snapshot.version(), snapshot.configuration(), declared)))
                .fold(console::writeFailure, difference -> {
                    console.writeResult(difference, difference::describe);
                    return difference.isEmpty() ? ExitStatus.OK : ExitStatus.DIFFERENT;
                });
    }
}
