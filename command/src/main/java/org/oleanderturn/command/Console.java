package org.oleanderturn.command;

import java.io.PrintWriter;
import java.util.Objects;
import java.util.function.Supplier;
import org.oleanderturn.model.Codec;

/**
 * Writes results to the standard output and failures to the standard error, in one format.
 *
 * <p>Used by one thread at a time.
 */
final class Console {
    private final PrintWriter output;
    private final PrintWriter errors;
    private final OutputFormat format;

    private Console(PrintWriter output, PrintWriter errors, OutputFormat format) {
        this.output = output;
        this.errors = errors;
        this.format = format;
    }

    static Console of(CommandEnvironment environment, OutputFormat format) {
        Objects.requireNonNull(format, "format is null");
        return new Console(environment.output(), environment.errors(), format);
    }

    /** Writes a result: the value as JSON, or else the text. */
    void writeResult(Object value, Supplier<String> text) {
        output.println(format == OutputFormat.JSON ? Codec.json().encodeIndented(value) : text.get());
        output.flush();
    }

    /** Writes a progress message in the text format; writes nothing in the JSON format, whose output is a single value. */
    void writeProgress(String text) {
        if (format == OutputFormat.TEXT) {
            output.println(text);
            output.flush();
        }
    }

    /** Writes a failure and returns its exit status. */
    ExitStatus writeFailure(CommandFailure failure) {
        errors.println(
                format == OutputFormat.JSON
                        ? Codec.json().encodeText(failure)
                        : "error: " + failure.getClass().getSimpleName() + " " + failure.describe());
        errors.flush();
        return ExitStatus.of(failure);
    }
}
