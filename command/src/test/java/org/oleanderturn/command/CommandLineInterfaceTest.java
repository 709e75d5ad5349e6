package org.oleanderturn.command;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.DrainOutcome;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Service;

class CommandLineInterfaceTest {
    private static final String CONFIGURATION = "GET /v1/configuration";
    private static final long BYTE_INTERVAL_NANOSECONDS = 5_000_000;
    private static final NodeId NODE = NodeId.of("hobart-1");
    private static final ConfigurationSnapshot SNAPSHOT = ConfigurationSnapshot.of(
            ConfigurationVersion.of(7), Configuration.of(List.of(Service.of("docs", 10, 120)), List.of(), List.of()));

    private final FakeNode first = FakeNode.start();
    private final FakeNode second = FakeNode.start();

    @TempDir
    private Path folder;

    @AfterEach
    void close() {
        first.close();
        second.close();
    }

    static Stream<String> malformedLines() {
        return Stream.of(
                "bogus",
                "query",
                "query proxies",
                "query bogus",
                "query change",
                "query change NOT.A.NAME --node 127.0.0.1:1",
                "query proxies --node nowhere",
                "query proxies --node 127.0.0.1:1 --timeout 0",
                "query proxies --node 127.0.0.1:1 --timeout soon",
                "query proxies --node 127.0.0.1:1 --output yaml",
                "query proxies --settings no-such-file.json",
                "command propose no-such-folder --node 127.0.0.1:1",
                "command drain --node 127.0.0.1:1");
    }

    @ParameterizedTest
    @MethodSource("malformedLines")
    void shouldReportAUsageErrorWhenTheLineIsMalformed(String line) {
        CommandRun run = CommandRun.of(List.of(), line.split(" "));

        assertThat(run.code()).isEqualTo(2);
        assertThat(run.errors()).startsWith("error: ");
        assertThat(run.output()).isEmpty();
    }

    @Test
    void shouldUseTheNextNodeWhenOneFails() {
        first.respondsRawTo(CONFIGURATION, 200, "{}");
        second.respondsTo(CONFIGURATION, SNAPSHOT);

        CommandRun run = CommandRun.of(List.of(first, second), "query", "config", "--output", "json");

        assertThat(run.code()).isEqualTo(0);
        assertThat(run.output().strip()).isEqualTo(Codec.json().encodeIndented(SNAPSHOT));
    }

    @Test
    void shouldReportStatusAndRetryDelayWhenANodeRejectsAQuery() {
        first.respondsRawTo("GET /v1/state", 503, "{\"type\":\"Starting\"}");

        CommandRun run = CommandRun.of(List.of(first), "query", "state");

        assertThat(run.code()).isEqualTo(4);
        assertThat(run.errors()).contains("Rejected " + first.address() + ": HTTP status 503 {\"type\":\"Starting\"}");
        assertThat(run.errors()).contains("retry in 3 s");
    }

    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void shouldTimeOutWhenANodeNeverResponds() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String node = "127.0.0.1:" + silent.getLocalPort();

            CommandRun run = CommandRun.of(List.of(), "query", "state", "--node", node, "--timeout", "50");

            assertThat(run.code()).isEqualTo(4);
            assertThat(run.errors()).contains("its response was lost: no complete response within 50 ms");
        }
    }

    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void shouldTimeOutWhenAResponseArrivesByteByByte() throws IOException {
        try (ServerSocket slow = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> sendHeaderForever(slow));
            String node = "127.0.0.1:" + slow.getLocalPort();

            CommandRun run = CommandRun.of(List.of(), "query", "state", "--node", node, "--timeout", "200");

            assertThat(run.code()).isEqualTo(4);
        }
    }

    private static void sendHeaderForever(ServerSocket server) {
        try (Socket socket = server.accept()) {
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nSlow: ".getBytes(StandardCharsets.US_ASCII));
            while (true) {
                socket.getOutputStream().write('a');
                LockSupport.parkNanos(BYTE_INTERVAL_NANOSECONDS);
            }
        } catch (IOException closedByClient) {
            return;
        }
    }

    @Test
    void shouldListEachDifferenceWhenDeclarationsDiffer() throws IOException {
        first.respondsTo(CONFIGURATION, SNAPSHOT);
        Path file = folder.resolve("services.json");
        Files.write(file, Codec.json().encode(SNAPSHOT.configuration()));

        assertThat(diff().code()).isEqualTo(0);

        Files.writeString(file, "{\"services\":[{\"name\":\"bookings\",\"slots\":1,\"connections\":1}]}");

        assertThat(diff().code()).isEqualTo(7);
        assertThat(diff().output()).contains("+ services/bookings");
        assertThat(diff().output()).contains("- services/docs");
    }

    static Stream<Arguments> drainCases() {
        DrainOutcome applied = new DrainOutcome.Applied(NODE, EndpointState.DRAINING);
        DrainOutcome unknown = new DrainOutcome.UnknownNode(NODE);
        DrainOutcome unreachable = new DrainOutcome.Unreachable(NODE, "timeout");
        DrainOutcome undetermined = new DrainOutcome.Undetermined(NODE, "answer lost");
        return Stream.of(
                Arguments.of(0, applied, unknown),
                Arguments.of(0, unknown, applied),
                Arguments.of(3, unknown, unknown),
                Arguments.of(5, unreachable, unreachable),
                Arguments.of(4, undetermined, unknown),
                Arguments.of(0, undetermined, applied));
    }

    @ParameterizedTest
    @MethodSource("drainCases")
    void shouldReportOnlyWhatIsCertainWhenANodeIsDrained(
            int code, DrainOutcome firstOutcome, DrainOutcome secondOutcome) {
        first.respondsTo("POST /v1/drain/hobart-1", firstOutcome);
        second.respondsTo("POST /v1/drain/hobart-1", secondOutcome);

        CommandRun run = CommandRun.of(List.of(first, second), "command", "drain", "hobart-1");

        assertThat(run.code()).isEqualTo(code);
    }

    @Test
    void shouldRunEachLineAndShowItsStatusWhenRunAsAPrompt() {
        first.respondsTo(CONFIGURATION, SNAPSHOT);

        CommandRun run = CommandRun.of(
                "query config --output \"json\"\nquery 'config\nbogus\n\nhelp\nexit\nquery bogus\n", List.of(first));

        assertThat(run.code()).isEqualTo(0);
        assertThat(run.output()).contains("\"digest\"");
        assertThat(run.output().split("exit status 2", -1)).hasLength(3);
        assertThat(run.errors()).contains("unclosed quote");
        assertThat(first.requests()).hasSize(1);
    }

    @Test
    void shouldShowAnExampleAndExitCodesWhenHelpIsRequested() {
        for (String line : List.of("command propose", "command restore", "query proxies", "query diff", "prompt")) {
            CommandRun run = CommandRun.of(List.of(), (line + " --help").split(" "));

            assertWithMessage(line).that(run.code()).isEqualTo(0);
            assertWithMessage(line).that(run.output()).contains("Example:");
            assertWithMessage(line).that(run.output()).contains("diff found differences");
        }
    }

    private CommandRun diff() {
        return CommandRun.of(List.of(first), "query", "diff", folder.toString());
    }
}
