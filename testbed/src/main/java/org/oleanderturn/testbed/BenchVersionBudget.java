package org.oleanderturn.testbed;

import java.lang.management.ManagementFactory;

/**
 * What a node may spend on one version at the users' targets: 4.5% of a core, 256 MB and 21,000 bytes a second for control,
 * with 3,100 changes a day.
 *
 * <p>The targets are for all control traffic, so a version alone has to stay below them. Pure functions. Thread safe.
 */
final class BenchVersionBudget {
    static final double MEMORY_MEBIBYTES = 256e6 / (1_024 * 1_024);

    private static final double PROCESSOR_SHARE = 0.045;
    private static final double BYTES_PER_SECOND = 21_000;
    private static final double CHANGES_PER_DAY = 3_100;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final double BYTES_PER_MEBIBYTE = 1_024 * 1_024;

    private BenchVersionBudget() {}

    /** Returns the mean time between two versions. */
    static double secondsBetweenVersions() {
        return SECONDS_PER_DAY / CHANGES_PER_DAY;
    }

    /** Returns the processor time that a node may spend between two versions. */
    static double processorMilliseconds() {
        return PROCESSOR_SHARE * secondsBetweenVersions() * MILLISECONDS_PER_SECOND;
    }

    /** Returns the bytes that a node may send and receive between two versions. */
    static double bytes() {
        return BYTES_PER_SECOND * secondsBetweenVersions();
    }

    /** Returns the bytes of one change of a node as bytes a second. */
    static double bytesPerSecond(double bytesPerVersion) {
        return bytesPerVersion / secondsBetweenVersions();
    }

    /** Returns the memory of live objects, after a garbage collection. */
    static double usedHeapMebibytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / BYTES_PER_MEBIBYTE;
    }
}
