package org.oleanderturn.traffic;

import java.util.Locale;

/** The figures of one course of a {@link PlacementSimulation}; ages and latencies in milliseconds. Immutable. */
record PlacementFigures(
        double busiest,
        long requests,
        long refusedWhileFree,
        long refused,
        long failed,
        long failedWhileFree,
        double waitedWhileFree,
        double ageMedian,
        double age99,
        double messages,
        double crossRegion,
        double crossRegionHighest,
        double otherZone,
        double latency99) {
    String line(String name) {
        return String.format(
                Locale.ROOT,
                "%-42s busiest %.2f, refused while free %d, refused %d, failed %d (%d while free) of %d,"
                        + " waited while free %.2f%%,"
                        + " age %.0f ms, %.0f ms, messages %.1f/s, other zone %.1f%%, other region %.2f%% (highest"
                        + " second %.1f%%), p99 %.0f ms",
                name,
                busiest,
                refusedWhileFree,
                refused,
                failed,
                failedWhileFree,
                requests,
                waitedWhileFree * 100,
                ageMedian,
                age99,
                messages,
                otherZone * 100,
                crossRegion * 100,
                crossRegionHighest * 100,
                latency99);
    }
}
