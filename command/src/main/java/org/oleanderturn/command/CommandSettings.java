package org.oleanderturn.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;

/**
 * Which nodes to talk to, and how.
 *
 * <p>Immutable and thread safe.
 *
 * @param nodes operator addresses, in the order of trying
 * @param timeoutMilliseconds how long to wait for a connection, and again for an answer
 * @param format the form of answers and errors
 */
public record CommandSettings(List<Address> nodes, int timeoutMilliseconds, OutputFormat format) {
    /** The environment variable that lists operator addresses, separated by commas. */
    public static final String NODES_VARIABLE = "OLEANDERTURN_NODES";

    static final int DEFAULT_TIMEOUT_MILLISECONDS = 5_000;
    static final int HIGHEST_TIMEOUT_MILLISECONDS = 600_000;

    /** Copies the nodes. */
    public CommandSettings {
        nodes = List.copyOf(nodes);
    }

    /** Returns the settings that nothing was given for. */
    public static CommandSettings defaults() {
        return new CommandSettings(List.of(), DEFAULT_TIMEOUT_MILLISECONDS, OutputFormat.TEXT);
    }

    /** The content of a settings file; each part may be left out. */
    record SettingsFile(Optional<List<String>> nodes, Optional<Integer> timeoutMilliseconds) {}

    // -- core operations

    /** Returns these settings with what a settings file says in place of them. */
    Either<CommandFailure, CommandSettings> withFile(Path file) {
        byte[] content;
        try {
            content = Files.readAllBytes(file);
        } catch (IOException cause) {
            return Either.left(new CommandFailure.UnreadableFile(file.toString(), Texts.reasonOf(cause)));
        }
        return Codec.json()
                .decode(content, SettingsFile.class)
                .mapLeft(failure -> (CommandFailure) new CommandFailure.MalformedFile(file.toString(), failure))
                .flatMap(found -> withContent(found, file.toString()));
    }

    /** Returns these settings with other nodes. */
    Either<CommandFailure, CommandSettings> withNodes(List<String> texts, String place) {
        List<Address> addresses = new ArrayList<>();
        for (String text : texts) {
            try {
                addresses.add(Address.parse(String.valueOf(text).strip()));
            } catch (IllegalArgumentException malformed) {
                return Either.left(new CommandFailure.MalformedValue(place, String.valueOf(text), "HOST:PORT"));
            }
        }
        return Either.right(new CommandSettings(addresses, timeoutMilliseconds, format));
    }

    /** Returns these settings with another timeout. */
    Either<CommandFailure, CommandSettings> withTimeout(int milliseconds, String place) {
        if (milliseconds < 1 || milliseconds > HIGHEST_TIMEOUT_MILLISECONDS) {
            String expected = "milliseconds from 1 to " + HIGHEST_TIMEOUT_MILLISECONDS;
            return Either.left(new CommandFailure.MalformedValue(place, Integer.toString(milliseconds), expected));
        }
        return Either.right(new CommandSettings(nodes, milliseconds, format));
    }

    /** Returns these settings with another form of output. */
    CommandSettings withFormat(OutputFormat other) {
        return new CommandSettings(nodes, timeoutMilliseconds, other);
    }

    private Either<CommandFailure, CommandSettings> withContent(SettingsFile content, String file) {
        Either<CommandFailure, CommandSettings> settings = Either.right(this);
        if (content.nodes().isPresent()) {
            settings = withNodes(content.nodes().get(), file + ": nodes");
        }
        if (content.timeoutMilliseconds().isPresent()) {
            int milliseconds = content.timeoutMilliseconds().get();
            return settings.flatMap(found -> found.withTimeout(milliseconds, file + ": timeoutMilliseconds"));
        }
        return settings;
    }
}
