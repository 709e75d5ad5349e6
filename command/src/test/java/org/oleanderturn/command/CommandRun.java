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

/** What one line of the command line wrote and returned; its clock moves only while it pauses. */
record CommandRun(int code, String output, String errors) {

    static CommandRun of(List<FakeNode> nodes, String... words) {
        return of("", nodes, words);
    }

    static CommandRun of(String input, List<FakeNode> nodes, String... words) {
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
        List<String> line = new ArrayList<>(List.of(words));
        nodes.forEach(node -> line.addAll(List.of("--node", node.address().toString())));
        int code = Grammar.of(environment).run(line);
        return new CommandRun(code, output.toString(), errors.toString());
    }
}
