package org.oleanderturn.testbed;

import java.util.List;

/** One experiment of the benchmark; each run starts and ends everything that it needs. */
public interface BenchExperiment {

    /** Returns the name by which it is run. */
    String name();

    /** Returns what it shows, in one line. */
    String shows();

    /** Runs it and returns what was measured, within two minutes. */
    List<BenchRow> run();
}
