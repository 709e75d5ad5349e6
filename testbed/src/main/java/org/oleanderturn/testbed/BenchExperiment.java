package org.oleanderturn.testbed;

import java.util.List;

/** A benchmark experiment. Each run starts all processes and servers that it needs and stops them again. */
public interface BenchExperiment {

    /** Returns the name that selects this experiment on the command line. */
    String name();

    /** Returns a one-line description of what is measured. */
    String description();

    /** Runs the experiment, which takes at most two minutes, and returns one row per measure. */
    List<BenchRow> run();
}
