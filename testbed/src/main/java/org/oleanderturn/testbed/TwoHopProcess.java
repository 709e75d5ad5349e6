package org.oleanderturn.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The resource use of a node's process, read from the operating system and from its garbage collection log.
 *
 * <p>Immutable and thread safe.
 *
 * @param handle the running process
 * @param garbageCollectionLog the log file that its JVM writes
 */
record TwoHopProcess(ProcessHandle handle, Path garbageCollectionLog) {
    private static final Pattern GARBAGE_COLLECTION = Pattern.compile("Pause \\w+ .* (\\d+)M->(\\d+)M\\(");
    private static final Pattern RESIDENT_MEMORY = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final double KILOBYTES_PER_MEGABYTE = 1_024;

    /**
     * The resources used since the process started.
     *
     * @param processorTime the time of all its threads
     * @param collections the heap before and after each collection, in megabytes
     */
    record ResourceUse(Duration processorTime, List<int[]> collections) {

        /**
         * Returns the megabytes allocated since an earlier reading. Allocation after the last collection of a reading is
         * not in the log, so the error is at most about the memory that one collection frees.
         */
        double allocatedMegabytesSince(ResourceUse earlier) {
            double allocated = 0;
            for (int next = Math.max(1, earlier.collections().size()); next < collections.size(); next++) {
                allocated += collections.get(next)[0] - collections.get(next - 1)[1];
            }
            return allocated;
        }

        /** Returns the heap after the last collection; not a number when there was none. */
        double heapMegabytes() {
            return collections.isEmpty() ? Double.NaN : collections.getLast()[1];
        }
    }

    /** Finds the process that was started with the settings file of this name; throws if none runs. */
    static TwoHopProcess find(Path folder, String name) {
        String settings = folder.resolve(name + ".json").toString();
        return ProcessHandle.allProcesses()
                .filter(process -> process.info().arguments().stream()
                        .flatMap(Arrays::stream)
                        .anyMatch(argument -> argument.endsWith(settings)))
                .findFirst()
                .map(process -> new TwoHopProcess(process, folder.resolve(name + ".gc")))
                .orElseThrow(() -> new IllegalStateException("no running process has the settings file " + settings));
    }

    ResourceUse readResourceUse() {
        return new ResourceUse(handle.info().totalCpuDuration().orElse(Duration.ZERO), readCollections());
    }

    /** Returns the resident set size; not a number when the system does not report one. */
    double residentMegabytes() {
        Matcher matcher = RESIDENT_MEMORY.matcher(read(Path.of("/proc", Long.toString(handle.pid()), "status")));
        return matcher.find() ? Long.parseLong(matcher.group(1)) / KILOBYTES_PER_MEGABYTE : Double.NaN;
    }

    private List<int[]> readCollections() {
        return GARBAGE_COLLECTION
                .matcher(read(garbageCollectionLog))
                .results()
                .map(match -> new int[] {Integer.parseInt(match.group(1)), Integer.parseInt(match.group(2))})
                .toList();
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }
}
