package org.oleanderturn.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import org.oleanderturn.model.KeyDigest;
import org.oleanderturn.model.PlacementQuestion;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows where a node would send a request now, and why; the request is not sent. Used by one thread. */
@Command
final class PlacementQuery implements Operation {
    @Option(names = "--host", paramLabel = "HOST", required = true, description = "The virtual host, without a port.")
    private String host;

    @Option(names = "--path", paramLabel = "PATH", required = true, description = "The request's path and query.")
    private String path;

    @Option(names = "--method", paramLabel = "METHOD", description = "The request's HTTP method (default: GET).")
    private String method = "GET";

    @Option(
            names = "--key-file",
            paramLabel = "FILE",
            description = "File that holds the key of an organisation. Only the key's digest is sent.")
    private Optional<Path> keyFile = Optional.empty();

    @Override
    public ExitStatus run(ExecutionContext context) {
        Console console = context.console();
        return readKey()
                .map(key -> new PlacementQuestion(method.toUpperCase(Locale.ROOT), host, path, key))
                .flatMap(question -> context.client().flatMap(client -> client.explainPlacement(question)))
                .fold(console::writeFailure, explanation -> {
                    console.writeResult(explanation, () -> PlacementFormatter.format(explanation));
                    return ExitStatus.OK;
                });
    }

    private Either<CommandFailure, Optional<KeyDigest>> readKey() {
        if (keyFile.isEmpty()) {
            return Either.right(Optional.empty());
        }
        try {
            return Either.right(
                    Optional.of(KeyDigest.ofKey(Files.readString(keyFile.get()).strip())));
        } catch (IOException cause) {
            return Either.left(
                    new CommandFailure.UnreadableFile(keyFile.get().toString(), TextFormatter.reasonOf(cause)));
        }
    }
}
