package org.oleanderturn.node;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.oleanderturn.model.Codec;

/** How log lines are written to standard error. */
enum LogFormat {
    /** One JSON object a line. */
    JSON,
    /** One line of text. */
    TEXT;

    /** Makes every logger write this format. */
    void install() {
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new LineFormatter(this));
        replaceHandlers(handler);
    }

    /** Makes every logger write this format to a writer that never blocks. */
    void install(LogWriter writer) {
        replaceHandlers(new WriterHandler(writer, new LineFormatter(this)));
    }

    private static void replaceHandlers(Handler handler) {
        Logger root = Logger.getLogger("");
        for (Handler standard : root.getHandlers()) {
            root.removeHandler(standard);
        }
        root.addHandler(handler);
    }

    /** Hands each record to a writer. */
    private static final class WriterHandler extends Handler {
        private final LogWriter writer;
        private final Formatter formatter;

        WriterHandler(LogWriter writer, Formatter formatter) {
            this.writer = writer;
            this.formatter = formatter;
        }

        @Override
        public void publish(LogRecord line) {
            writer.offer(formatter.format(line).stripTrailing());
        }

        @Override
        public void flush() {
            // Lines are written as they come.
        }

        @Override
        public void close() {
            // The writer is closed by its owner.
        }
    }

    /** Writes a record as one line. */
    private static final class LineFormatter extends Formatter {
        private final LogFormat format;

        LineFormatter(LogFormat format) {
            this.format = format;
        }

        @Override
        public String format(LogRecord line) {
            return switch (format) {
                case JSON -> json(line);
                case TEXT -> text(line);
            };
        }

        private String json(LogRecord line) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("time", Instant.ofEpochMilli(line.getMillis()).toString());
            fields.put("level", line.getLevel().getName().toLowerCase(Locale.ROOT));
            fields.put("logger", String.valueOf(line.getSourceClassName()));
            fields.put("message", formatMessage(line));
            if (line.getThrown() != null) {
                fields.put("cause", stackOf(line.getThrown()));
            }
            return Codec.json().encodeText(fields) + System.lineSeparator();
        }

        private String text(LogRecord line) {
            String cause = line.getThrown() == null ? "" : System.lineSeparator() + stackOf(line.getThrown());
            return "%s %s %s%s%n"
                    .formatted(
                            Instant.ofEpochMilli(line.getMillis()),
                            line.getLevel().getName(),
                            formatMessage(line),
                            cause);
        }

        private static String stackOf(Throwable cause) {
            StringWriter text = new StringWriter();
            cause.printStackTrace(new PrintWriter(text));
            return text.toString().strip();
        }
    }
}
