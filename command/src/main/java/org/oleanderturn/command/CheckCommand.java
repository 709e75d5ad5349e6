package org.oleanderturn.command;

import io.vavr.control.Either;
import java.nio.file.Path;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationCheck;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The command that says whether declarations could be accepted; it changes nothing. Used by one thread. */
@Command
final class CheckCommand implements Operation {
    @Parameters(paramLabel = "FILE|FOLDER", description = "A declaration file, or a folder of them.")
    private Path path;

    @Override
    public ExitStatus run(Session session) {
        Console console = session.console();
        return DeclarationFolder.read(path)
                .flatMap(configuration -> check(session, configuration))
                .fold(console::fail, check -> {
                    console.answer(check, () -> describe(check, session));
                    return check.faults().isEmpty() ? ExitStatus.OK : ExitStatus.REFUSED;
                });
    }

    private static Either<CommandFailure, ConfigurationCheck> check(Session session, Configuration configuration) {
        ConfigurationCheck local = ConfigurationCheck.of(configuration);
        if (!local.faults().isEmpty() || session.settings().nodes().isEmpty()) {
            return Either.right(local);
        }
        return session.nodes().flatMap(nodes -> nodes.check(configuration));
    }

    private static String describe(ConfigurationCheck check, Session session) {
        if (!check.faults().isEmpty()) {
            return "could not be accepted:" + System.lineSeparator() + Texts.faults(check.faults());
        }
        return session.settings().nodes().isEmpty() ? "no fault (checked here)" : "no fault (checked by a node)";
    }
}
