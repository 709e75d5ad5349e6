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
 * Which nodes to contact, the timeout, and the output format.
 *
 * <p>Immutable and thread safe.
 *
 * @param nodes operator addresses, in the order in which they are tried
 * @param timeoutMilliseconds time limit for connecting to a node, and separately for its response
 * @param format the format of output and errors
 */
public record CommandSettings(List<Address> nodes, int timeoutMilliseconds, OutputFormat format) {
    /** The environment variable that lists operator addresses, separated by commas. */
    public static final String NODES_VARIABLE = "OLEANDERTURN_NODES";

    static final int DEFAULT_TIMEOUT_MILLISECONDS = 5_000;
    static final int MAXIMUM_TIMEOUT_MILLISECONDS = 600_000;

    /** Copies the nodes. */
    public CommandSettings {
        nodes = List.copyOf(nodes);
    }

    /** Returns the default settings: no nodes, a timeout of 5 s, and text output. */
    public static CommandSettings defaults() {
        return new CommandSettings(List.of(), DEFAULT_TIMEOUT_MILLISECONDS, OutputFormat.TEXT);
    }

    /** The content of a settings file; each field may be absent. */
    record SettingsFile(Optional<List<String>> nodes, Optional<Integer> timeoutMilliseconds) {}

    // -- core operations

    /** Returns these settings with the values that a settings file holds; fails when it is unreadable or malformed. */
    Either<CommandFailure, CommandSettings> withFile(Path file) {
        byte[] content;
        try {
            content = Files.readAllBytes(file);
        } catch (IOException cause) {
            return Either.left(new CommandFailure.UnreadableFile(file.toString(), TextFormatter.reasonOf(cause)));
        }
        return Codec.json()
                .decode(content, SettingsFile.class)
                .mapLeft(failure -> (CommandFailure) new CommandFailure.MalformedFile(file.toString(), failure))
                .flatMap(parsed -> withContent(parsed, file.toString()));
    }

    /** Returns these settings with other nodes; fails when an address is not {@code HOST:PORT}. */
    Either<CommandFailure, CommandSettings> withNodes(List<String> texts, String source) {
        List<Address> addresses = new ArrayList<>();
        for (String text : texts) {
            try {
                addresses.add(Address.parse(String.valueOf(text).strip()));
            } catch (IllegalArgumentException malformed) {
                return Either.left(new CommandFailure.MalformedValue(source, String.valueOf(text), "HOST:PORT"));
            }
        }
        return Either.right(new CommandSettings(addresses, timeoutMilliseconds, format));
    }

    /** Returns these settings with another timeout; fails when it is below 1 ms or above 600,000 ms. */
    Either<CommandFailure, CommandSettings> withTimeout(int milliseconds, String source) {
        if (milliseconds < 1 || milliseconds > MAXIMUM_TIMEOUT_MILLISECONDS) {
            String expected = "milliseconds from 1 to " + MAXIMUM_TIMEOUT_MILLISECONDS;
            return Either.left(new CommandFailure.MalformedValue(source, Integer.toString(milliseconds), expected));
        }
        return Either.right(new CommandSettings(nodes, milliseconds, format));
    }

    /** Returns these settings with another output format. */
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
            return settings.flatMap(parsed -> parsed.withTimeout(milliseconds, file + ": timeoutMilliseconds"));
        }
        return settings;
    }
}
