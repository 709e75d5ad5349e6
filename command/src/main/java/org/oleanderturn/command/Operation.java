package org.oleanderturn.command;

/** A command or query that can be run; the parser has set its options. Used by one thread. */
@FunctionalInterface
interface Operation {

    /** Runs the operation, writes its result or failure to the context's console and returns the exit status. */
    ExitStatus run(ExecutionContext context);
}
