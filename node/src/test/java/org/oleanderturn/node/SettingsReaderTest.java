package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oleanderturn.model.DurationText;

/** Guards against settings that are accepted silently although wrong, and against faults that don't say what is expected. */
class SettingsReaderTest {
    private static final Path EXAMPLES = Path.of("..", "examples");
    private static String validSettings;

    @BeforeAll
    static void readExample() throws IOException {
        validSettings = Files.readString(EXAMPLES.resolve("huon-valley/nodes/hobart-bookings-1.json"));
    }

    static List<Path> examples() throws IOException {
        try (Stream<Path> files = Files.walk(EXAMPLES)) {
            return files.filter(file -> file.getParent().endsWith("nodes"))
                    .sorted()
                    .toList();
        }
    }

    @Test
    void shouldReadEveryExampleWhenNothingIsChanged() throws IOException {
        assertThat(examples()).isNotEmpty();
        for (Path example : examples()) {
            assertWithMessage(example.toString())
                    .that(SettingsReader.read(example).isRight())
                    .isTrue();
        }
    }

    private static String withMesh(String section) {
        int end = validSettings.lastIndexOf('}');
        return validSettings.substring(0, end)
                + ", \"mesh\": {\"targetCalls\": \"127.0.0.1:1\", \"metrics\": \"127.0.0.1:2\", \"heartbeat\": \"1s\","
                + " \"stopTime\": \"5s\", \"repeats\": {\"ratio\": 0.2, \"floor\": 60, \"window\": \"10s\"}"
                + section
                + "}}";
    }

    /** The placement of earlier deployments must not change by what a template states of their regions. */
    @Test
    void shouldPlaceByEvenLoadOnlyWhereItIsChosenOrThreeRegionsAreNamed() {
        assertThat(placement("")).isEqualTo(NodeSettings.Placement.LEAST_LATENCY);
        assertThat(placement(", \"regions\": \"north,south,north\"")).isEqualTo(NodeSettings.Placement.LEAST_LATENCY);
        assertThat(placement(", \"regions\": \"north,south,west,south\"")).isEqualTo(NodeSettings.Placement.EVEN_LOAD);
        assertThat(placement(", \"regions\": \"north,south,west\", \"placement\": \"LEAST_LATENCY\""))
                .isEqualTo(NodeSettings.Placement.LEAST_LATENCY);
        assertThat(placement(", \"placement\": \"EVEN_LOAD\"")).isEqualTo(NodeSettings.Placement.EVEN_LOAD);
    }

    private static NodeSettings.Placement placement(String section) {
        return SettingsReader.parse(withMesh(section).getBytes(StandardCharsets.UTF_8))
                .get()
                .mesh()
                .orElseThrow()
                .chosenPlacement();
    }

    /** Rollouts change what nodes exchange, so they must never be on by default. */
    @Test
    void shouldReadLimitsOnRolloutsOnlyWhenTheirSectionIsPresent() {
        String section = ", \"rollouts\": {\"share\": 0.1, \"slack\": 50, \"rollback\": \"5s\"}";
        assertThat(parse(withMesh("")).get().mesh().orElseThrow().rollouts()).isEqualTo(Optional.empty());
        assertThat(parse(withMesh(section)).get().mesh().orElseThrow().rollouts())
                .isEqualTo(Optional.of(new NodeSettings.Rollouts(0.1, 50, DurationText.of("5s"))));
        assertThat(parse(withMesh(section.replace("0.1", "1.1"))).isLeft()).isTrue();
        assertThat(parse(withMesh(section.replace(", \"slack\": 50", ""))).isLeft())
                .isTrue();
    }

    private static Either<List<SettingsFault>, NodeSettings> parse(String text) {
        return SettingsReader.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "\"callsPerSecond\": 20 | \"callsPerSecond\": \"20\" | "
                        + "platform.callsPerSecond: found \"20\"; expected a whole number of calls per second from 1 to 1000",
                "\"callsPerSecond\": 20 | \"callsPerSecond\": 20.5 | "
                        + "platform.callsPerSecond: found 20.5; expected a whole number of calls per second from 1 to 1000",
                "\"callsPerSecond\": 20 | \"callsPerSecond\": 1001 | "
                        + "platform.callsPerSecond: found 1001; expected a whole number of calls per second from 1 to 1000",
                "\"callsPerSecond\": 20 | \"callsPerSecond\": null | "
                        + "platform.callsPerSecond: found null; expected a whole number of calls per second from 1 to 1000",
                "\"timeoutMilliseconds\": 1000 | \"timeoutMilliseconds\": 9 | "
                        + "platform.timeoutMilliseconds: found 9; expected a whole number of milliseconds from 10 to 60000",
                "\"timeoutMilliseconds\": 1000 | \"timeout\": 1000 | " + "platform.timeout: unknown field",
                "\"timeoutMilliseconds\": 1000 | \"timeout\": 1000 | "
                        + "platform.timeoutMilliseconds: missing; expected a whole number of milliseconds from 10 to 60000",
                "\"region\": \"south\" | \"region\": \"The South\" | "
                        + "region: found \"The South\"; expected a name of",
                "\"caller\": \"127.0.0.1:21009\" | \"caller\": \"21009\" | "
                        + "listen.caller: found \"21009\"; expected an IP address and port",
                "\"healthPath\": \"/health\" | \"healthPath\": \"health\" | "
                        + "target.healthPath: found \"health\"; expected a path that starts with a slash",
                "\"127.0.0.1:23010\" | 23010 | join: found [23010",
                "\"node\": | \"drainMilliseconds\": -1, \"node\": | "
                        + "drainMilliseconds: found -1; expected a whole number of milliseconds from 0 to 3600000",
                "\"target\": { | \"target\": 5, \"other\": { | " + "target: found 5; expected an object"
            })
    void shouldDescribeTheFaultWhenAFieldIsInvalid(String before, String after, String expected) {
        assertThat(validSettings).contains(before);
        assertThat(faultsOf(validSettings.replace(before, after))).contains(expected);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"{\"node\": | line 1: not JSON", "[] | file: found ARRAY; expected an object", "{} {} | not JSON"})
    void shouldReportTheLocationWhenTheFileIsNotAJsonObject(String text, String expected) {
        assertThat(faultsOf(text)).contains(expected);
    }

    @Test
    void shouldReportEveryFaultWhenThereAreSeveral() {
        String text = validSettings.replace("\"node\"", "\"nodes\"").replace("1000", "0");

        assertThat(faultsOf(text)).contains("node: missing");
        assertThat(faultsOf(text)).contains("nodes: unknown field");
        assertThat(faultsOf(text)).contains("platform.timeoutMilliseconds: found 0");
    }

    @Test
    void shouldNameTheFileWhenItCannotBeRead() {
        Either<List<SettingsFault>, NodeSettings> read = SettingsReader.read(Path.of("no-such-file.json"));

        assertThat(read.getLeft()).hasSize(1);
        assertThat(read.getLeft().getFirst().describe()).startsWith("no-such-file.json: can't be read");
    }

    private static String faultsOf(String text) {
        Either<List<SettingsFault>, NodeSettings> read = SettingsReader.parse(text.getBytes(StandardCharsets.UTF_8));
        assertThat(read.isLeft()).isTrue();
        return String.join(
                "\n", read.getLeft().stream().map(SettingsFault::describe).toList());
    }
}
