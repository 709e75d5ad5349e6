package org.oleanderturn.command;

import java.nio.file.Path;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.OperatorPaths;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The query for what differs between declarations and the configuration in force. Used by one thread. */
@Command
final class DiffQuery implements Operation {
    @Parameters(paramLabel = "FOLDER", description = "A declaration file, or a folder of them.")
    private Path path;

    @Override
    public ExitStatus run(Session session) {
        Console console = session.console();
        return DeclarationFolder.read(path)
                .flatMap(declared -> session.nodes()
                        .flatMap(nodes -> nodes.ask(OperatorPaths.CONFIGURATION, ConfigurationSnapshot.class))
                        .map(held -> ConfigurationDifference.between(held.version(), held.configuration(), declared)))
                .fold(console::fail, difference -> {
                    console.answer(difference, difference::describe);
                    return difference.isEmpty() ? ExitStatus.OK : ExitStatus.DIFFERENT;
                });
    }
}
