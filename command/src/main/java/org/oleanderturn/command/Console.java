package org.oleanderturn.command;

import java.io.PrintWriter;
import java.util.Objects;
import java.util.function.Supplier;
import org.oleanderturn.model.Codec;

/**
 * Writes answers to the output and errors to the errors, in one form.
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

    /** Writes an answer: the value itself for programs, the text for people. */
    void answer(Object value, Supplier<String> text) {
        output.println(format == OutputFormat.JSON ? Codec.json().encodeIndented(value) : text.get());
        output.flush();
    }

    /** Writes something a person who waits should know now; nothing for programs. */
    void progress(String text) {
        if (format == OutputFormat.TEXT) {
            output.println(text);
            output.flush();
        }
    }

    /** Writes a failure and returns the status that it stands for. */
    ExitStatus fail(CommandFailure failure) {
        errors.println(
                format == OutputFormat.JSON
                        ? Codec.json().encodeText(failure)
                        : "error: " + failure.getClass().getSimpleName() + " " + failure.describe());
        errors.flush();
        return ExitStatus.of(failure);
    }
}
