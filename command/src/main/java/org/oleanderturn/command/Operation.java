package org.oleanderturn.command;

/** One command or query of the grammar, with its options filled in. Used by one thread. */
@FunctionalInterface
interface Operation {

    /** Runs it, writes its answer or its failure, and returns what became of it. */
    ExitStatus run(Session session);
}
