package org.oleanderturn.command;

import java.io.BufferedReader;
import java.io.PrintWriter;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/** The exit code and output of one command line, run with a clock that advances only when the sleeper is called. */
record CommandRun(int code, String output, String errors) {

    static CommandRun of(List<FakeNode> nodes, String... arguments) {
        return of("", nodes, arguments);
    }

    static CommandRun of(String input, List<FakeNode> nodes, String... arguments) {
        AtomicLong now = new AtomicLong();
        StringWriter output = new StringWriter();
        StringWriter errors = new StringWriter();
        CommandEnvironment environment = new CommandEnvironment(
                new BufferedReader(new StringReader(input)),
                new PrintWriter(output),
                new PrintWriter(errors),
                false,
                Map.of(),
                now::get,
                now::addAndGet,
                new Random(20_261_203),
                Optional.empty());
        List<String> line = new ArrayList<>(List.of(arguments));
        nodes.forEach(node -> line.addAll(List.of("--node", node.address().toString())));
        int code = CommandLineInterface.of(environment).run(line);
        return new CommandRun(code, output.toString(), errors.toString());
    }
}
