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

/** The format of log lines. */
enum LogFormat {
    /** One JSON object per line. */
    JSON,
    /** Plain text, one line per record; a stack trace follows on further lines. */
    TEXT;

    /** Makes all loggers write this format to standard error. */
    void install() {
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new LineFormatter(this));
        replaceHandlers(handler);
    }

    /** Makes all loggers write this format to the given writer, which never blocks. */
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

    /** Passes each formatted record to a {@link LogWriter}. */
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
            // The writer flushes whenever its queue is empty.
        }

        @Override
        public void close() {
            // The writer is closed by its owner.
        }
    }

    /** Formats a record in the given format. */
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
