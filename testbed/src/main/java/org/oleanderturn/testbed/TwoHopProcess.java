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
 * What a node's process uses, read from the operating system and from its log of collections.
 *
 * <p>Immutable and thread safe.
 */
record TwoHopProcess(ProcessHandle handle, Path collections) {
    private static final Pattern COLLECTION = Pattern.compile("Pause \\w+ .* (\\d+)M->(\\d+)M\\(");
    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final double KILOBYTES_PER_MEGABYTE = 1_024;

    /** What was used up to a moment. */
    record Use(Duration processor, List<int[]> collections) {

        /** Returns the megabytes allocated since an earlier moment, to within what one collection frees. */
        double allocatedMegabytesSince(Use earlier) {
            double allocated = 0;
            for (int next = Math.max(1, earlier.collections().size()); next < collections.size(); next++) {
                allocated += collections.get(next)[0] - collections.get(next - 1)[1];
            }
            return allocated;
        }

        double heapMegabytes() {
            return collections.isEmpty() ? Double.NaN : collections.getLast()[1];
        }
    }

    /** Finds the process that was started with the given settings file. */
    static TwoHopProcess find(Path folder, String name) {
        String settings = folder.resolve(name + ".json").toString();
        return ProcessHandle.allProcesses()
                .filter(process -> process.info().arguments().stream()
                        .flatMap(Arrays::stream)
                        .anyMatch(argument -> argument.endsWith(settings)))
                .findFirst()
                .map(process -> new TwoHopProcess(process, folder.resolve(name + ".gc")))
                .orElseThrow(() -> new IllegalStateException("no process runs with " + settings));
    }

    Use use() {
        return new Use(handle.info().totalCpuDuration().orElse(Duration.ZERO), readCollections());
    }

    double residentMegabytes() {
        Matcher matcher = RESIDENT.matcher(read(Path.of("/proc", Long.toString(handle.pid()), "status")));
        return matcher.find() ? Long.parseLong(matcher.group(1)) / KILOBYTES_PER_MEGABYTE : Double.NaN;
    }

    private List<int[]> readCollections() {
        return COLLECTION
                .matcher(read(collections))
                .results()
                .map(found -> new int[] {Integer.parseInt(found.group(1)), Integer.parseInt(found.group(2))})
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
