package org.oleanderturn.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ExplainQueryTest {
    private static final String ENTRY = """
            {"time":1000,"node":"entry","event":"Placed","request":"id-1","attempt":1,"guard":"first","loadAgeMilliseconds":40}
            {"level":"info","message":"node id-1 is no request"}
            {"time":1030,"node":"entry","event":"AttemptFailed","request":"id-1","attempt":1,"outcome":"not run: FULL"}
            {"time":1030,"node":"entry","event":"Placed","request":"id-1","attempt":2,"guard":"second"}
            {"time":1200,"node":"entry","event":"Answered","request":"id-1","status":200,"attempts":2}
            {"time":1200,"node":"entry","event":"Answered","request":"id-12","status":504,"attempts":1}
            not JSON at all, though it names id-1
            """;
    private static final String FIRST_GUARD = """
            {"time":1010,"node":"first","event":"Guarded","request":"id-1","attempt":1,"outcome":"not run: FULL"}
            """;
    private static final String SECOND_GUARD = """
            {"time":900,"node":"second","event":"Guarded","request":"id-1","attempt":2,"outcome":"ran 200"}
            """;

    @TempDir
    private Path folder;

    @Test
    void shouldMergeTheLinesOfAllNodesInCausalOrderWhenLogsAreGiven() throws IOException {
        CommandRun run = CommandRun.of(
                List.of(),
                "query",
                "explain",
                "id-1",
                file("second", SECOND_GUARD),
                file("first", FIRST_GUARD),
                file("entry", ENTRY));
        assertThat(run.code()).isEqualTo(0);
        List<String> events =
                run.output().lines().skip(1).map(line -> line.split(" +", 4)[2]).toList();
        assertThat(events)
                .containsExactly("Placed", "Guarded", "AttemptFailed", "Placed", "Guarded", "Answered")
                .inOrder();
        assertThat(run.output()).contains("loadAgeMilliseconds=40");
    }

    @Test
    void shouldReportTheSkewWhenAGuardsClockDiffersFromTheEntrys() {
        RequestTimeline timeline = RequestTimeline.of(
                "id-1", (ENTRY + FIRST_GUARD + SECOND_GUARD).lines().toList());
        List<RequestTimeline.Step> guarded = timeline.steps().stream()
                .filter(step -> step.event().equals("Guarded"))
                .toList();
        assertThat(guarded.getFirst().skewMilliseconds()).isEqualTo(0);
        assertThat(guarded.getLast().skewMilliseconds()).isEqualTo(-130);
        assertThat(guarded.getLast().timeMilliseconds()).isEqualTo(1030);
    }

    @Test
    void shouldShowTheVersionsOfTheEntryWhenTheyAreNearTheRequest() {
        String denied = """
                {"time":50000,"node":"entry","event":"Answered","request":"id-2","status":503,"attempts":0}
                {"time":39999,"node":"entry","event":"VersionAdopted","configuration":3}
                {"time":40000,"node":"entry","event":"VersionAdopted","configuration":4}
                {"time":50200,"node":"entry","event":"VersionAdopted","configuration":5,"heardMilliseconds":900}
                {"time":49800,"node":"entry","event":"TransferFailed","peer":"VersionAdopted"}
                {"time":49900,"node":"other","event":"VersionAdopted","configuration":5}
                {"time":60001,"node":"entry","event":"VersionAdopted","configuration":6}
                """;
        RequestTimeline timeline = RequestTimeline.of("id-2", denied.lines().toList());
        assertThat(timeline.steps().stream().map(RequestTimeline.Step::event).toList())
                .containsExactly("VersionAdopted", "TransferFailed", "Answered", "VersionAdopted")
                .inOrder();
        assertThat(timeline.describe().lines().skip(1).map(line -> line.split(" +", 2)[0]))
                .containsExactly("-10000", "-200", "0", "200")
                .inOrder();
        assertThat(timeline.describe()).contains("configuration=5 heardMilliseconds=900");
    }

    @Test
    void shouldReadStandardInputWhenNoFileIsGiven() {
        CommandRun run = CommandRun.of(ENTRY, List.of(), "query", "explain", "id-12", "--output", "json");
        assertThat(run.code()).isEqualTo(0);
        assertThat(run.output()).contains("\"event\" : \"Answered\"");
        assertThat(run.output()).contains("status=504");
    }

    @Test
    void shouldReportNoLinesWhenTheRequestIsNotInTheLogs() {
        CommandRun run = CommandRun.of(ENTRY, List.of(), "query", "explain", "id-9");
        assertThat(run.output()).contains("no log lines for request id-9");
    }

    @Test
    void shouldFailWhenAFileCannotBeRead() {
        CommandRun run = CommandRun.of(
                List.of(), "query", "explain", "id-1", folder.resolve("none").toString());
        assertThat(run.code()).isEqualTo(ExitStatus.USAGE.code());
        assertThat(run.errors()).contains("UnreadableFile");
    }

    private String file(String name, String lines) throws IOException {
        return Files.writeString(folder.resolve(name), lines).toString();
    }
}
