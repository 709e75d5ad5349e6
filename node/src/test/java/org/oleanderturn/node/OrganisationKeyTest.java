package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.KeyDigest;
import org.oleanderturn.model.OperatorPaths;
import org.oleanderturn.platform.FakeOperator;
import org.oleanderturn.platform.OperatorConfiguration;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.HeaderField;

/** The keys of organisations at whole nodes, on real sockets. Organisation 0 loses its key; organisation 1 keeps its own. */
@Timeout(120)
final class OrganisationKeyTest {
    private static final HeaderField REMOVED = FakeOperator.credentials(0);
    private static final HeaderField KEPT = FakeOperator.credentials(1);
    private static final String UNKNOWN_KEY = "key-of-nobody";
    private static final int SLOTS = 9;

    /** That of the organisations only; no route has it. */
    private static final int PRIORITY = 7;

    /** The pipelined requests of a connection that a node serves at once; it reads further ones ahead. */
    private static final int IN_SERVICE = 8;

    /** Longer than a version takes to come into force, and less than a request waits for a slot, 0.6 of its timeout. */
    private static final Duration LONG_RUN = Duration.ofSeconds(4);

    private static final String ROUTE_TIMEOUT = "9000ms";
    private static final int READ_TIMEOUT_MILLISECONDS = 12_000;

    private final Queue<String> seen = new ConcurrentLinkedQueue<>();

    /** Guards against keys that are checked once for each connection, or when a request is read instead of when it is served. */
    @Test
    void shouldRefuseARemovedKeyOnAnOpenConnectionAndOnRequestsThatWereReadAhead() throws Exception {
        try (MeshFleet fleet = start(1);
                Socket kept = connect(fleet);
                Socket pipelined = connect(fleet)) {
            write(kept, request("/lookup/kept", REMOVED));
            assertThat(readUntil(kept, "done")).startsWith("HTTP/1.1 200");
            fleet.target(0).setWorkTime(LONG_RUN);
            write(pipelined, request("/lookup/ahead", REMOVED).repeat(IN_SERVICE + 2));
            MeshFleet.await(() -> fleet.runs("/lookup/ahead").size() == IN_SERVICE);
            configure(fleet, 3, List.of(1));
            String responses = readUntil(pipelined, "HTTP/1.1 401");
            assertThat(responses.split("HTTP/1.1 200", -1)).hasLength(IN_SERVICE + 1);
            assertThat(fleet.runs("/lookup/ahead")).hasSize(IN_SERVICE);
            write(kept, request("/lookup/kept", REMOVED));
            assertThat(readUntil(kept, "KEY")).startsWith("HTTP/1.1 401");
            assertThat(fleet.runs("/lookup/kept")).hasSize(1);
        }
    }

    /** Guards against a run for a key that was removed while its request waited for a slot, and against a late refusal. */
    @Test
    void shouldRefuseARequestThatWaitsForASlotAtOnceWhenItsKeyIsRemoved() throws Exception {
        try (MeshFleet fleet = start(1);
                Socket running = connect(fleet);
                Socket other = connect(fleet);
                Socket waiting = connect(fleet)) {
            fleet.target(0).setWorkTime(LONG_RUN);
            write(running, request("/lookup/running", KEPT).repeat(IN_SERVICE));
            write(other, request("/lookup/running", KEPT));
            MeshFleet.await(() -> fleet.runs("/lookup/running").size() == SLOTS);
            write(waiting, request("/lookup/waiting", REMOVED));
            MeshFleet.await(() -> fleet.metrics(0).contains("oleanderturn_target_waiting 1.0"));
            // A heartbeat lets the guard look at the queue, so that the version alone would not be seen to do so.
            fleet.target(0).setSilent(true);
            configure(fleet, 3, List.of(1));
            assertThat(readUntil(waiting, "KEY_REMOVED")).startsWith("HTTP/1.1 401");
            fleet.target(0).setSilent(false);
            assertThat(fleet.metrics(0)).contains("decision=\"KEY_REMOVED\"");
            assertThat(other.getInputStream().available()).isEqualTo(0);
            assertThat(readUntil(other, "done")).startsWith("HTTP/1.1 200");
            assertThat(fleet.runs("/lookup/waiting")).isEmpty();
        }
    }

    /** Guards against keys, or digests by which keys can be guessed, in what operators, clients and targets get to see. */
    @Test
    void shouldShowNoKeyAnywhereWhenNodesServedValidUnknownAndRemovedKeys() throws Exception {
        Logger logger = Logger.getLogger("org.oleanderturn");
        Handler handler = new RecordingHandler();
        Level level = logger.getLevel();
        logger.setLevel(Level.ALL);
        logger.addHandler(handler);
        try (MeshFleet fleet = start(2)) {
            for (int host = 0; host < 2; host++) {
                fleet.target(host).onHeaders(headers -> seen.add("target: " + headers));
            }
            sendAll(fleet, 200);
            fleet.target(0).setVersion("v1", true);
            fleet.target(1).setVersion("v1", true);
            sendAll(fleet, 500);
            configure(fleet, 3, List.of(1));
            MeshFleet.await(
                    () -> fleet.status(0, "/lookup/x", REMOVED) == 401 && fleet.status(1, "/lookup/x", REMOVED) == 401);
            sendAll(fleet, 401);
            String unreadable = new String(value(4, List.of(0, 1)), StandardCharsets.UTF_8)
                    .replace("\"priority\":" + PRIORITY, "\"priority\":\"" + FakeOperator.key(0) + "\"");
            fleet.store().write(OperatorConfiguration.KEY, unreadable.getBytes(StandardCharsets.UTF_8));
            MeshFleet.await(() -> (fleet.page(0, OperatorPaths.STATE) + fleet.page(1, OperatorPaths.STATE))
                    .contains("may hold a key"));
            collect(fleet);
        } finally {
            logger.removeHandler(handler);
            logger.setLevel(level);
        }
        assertThat(seen.stream().anyMatch(text -> text.startsWith("target: "))).isTrue();
        assertThat(seen.stream().anyMatch(text -> text.startsWith("record: "))).isTrue();
        assertThat(seen.stream().anyMatch(text -> text.startsWith("decision: ") && text.contains("UNKNOWN_KEY")))
                .isTrue();
        for (String key : List.of(FakeOperator.key(0), FakeOperator.key(1), UNKNOWN_KEY)) {
            for (String secret : List.of(
                    key,
                    base64(key),
                    base64("Token " + key),
                    KeyDigest.ofKey(key).prefix())) {
                List<String> found =
                        seen.stream().filter(text -> text.contains(secret)).toList();
                assertWithMessage(secret).that(found).isEmpty();
            }
        }
    }

    /** Sends requests with a key that is kept, one that is removed and one that is unknown through both nodes. */
    private void sendAll(MeshFleet fleet, int expected) {
        HeaderField unknown = HeaderField.of("Authorization", "Token " + UNKNOWN_KEY);
        HeaderField malformed = HeaderField.of("Authorization", "Token " + UNKNOWN_KEY + " " + FakeOperator.key(0));
        for (int host = 0; host < 2; host++) {
            for (HeaderField credentials : List.of(KEPT, REMOVED, unknown, malformed)) {
                for (String path : List.of("/lookup/x", "/single/x", "/download/x", "/none/x")) {
                    BufferedResponse response =
                            fleet.send(host, path, credentials).get();
                    seen.add("response: " + response.status() + response.headers() + text(response));
                }
            }
            assertThat(fleet.status(host, "/lookup/x", REMOVED)).isEqualTo(expected);
        }
    }

    private void collect(MeshFleet fleet) {
        for (int host = 0; host < 2; host++) {
            seen.add("metrics: " + fleet.metrics(host));
            seen.add("state: " + fleet.page(host, OperatorPaths.STATE));
        }
        fleet.store().valuesOfNodes().forEach(value -> seen.add("store: " + value));
        fleet.log().forEach(line -> seen.add("decision: " + line));
    }

    /** Records all that the nodes log, with stack traces. */
    private final class RecordingHandler extends Handler {
        private final SimpleFormatter formatter = new SimpleFormatter();

        @Override
        public void publish(LogRecord logged) {
            seen.add("record: " + formatter.format(logged));
        }

        @Override
        public void flush() {
            // Nothing is buffered.
        }

        @Override
        public void close() {
            // Nothing is open.
        }
    }

    // -- fleet

    /** Starts nodes whose second version declares both organisations. */
    private static MeshFleet start(int size) throws IOException {
        MeshFleet fleet = MeshFleet.start(size);
        configure(fleet, 2, List.of(0, 1));
        for (int host = 0; host < size; host++) {
            int entry = host;
            MeshFleet.await(
                    () -> fleet.status(entry, "/lookup/x") == 401 && fleet.status(entry, "/lookup/x", REMOVED) == 200);
        }
        return fleet;
    }

    private static void configure(MeshFleet fleet, int version, List<Integer> organisations) {
        fleet.store().write(OperatorConfiguration.KEY, value(version, organisations));
    }

    private static byte[] value(int version, List<Integer> organisations) {
        byte[] value =
                FakeOperator.value(version, MeshFleet.SERVICE, MeshFleet.MAXIMUM_ATTEMPTS, organisations, PRIORITY);
        return new String(value, StandardCharsets.UTF_8)
                .replace("3000ms", ROUTE_TIMEOUT)
                .getBytes(StandardCharsets.UTF_8);
    }

    // -- clients

    private static Socket connect(MeshFleet fleet) throws IOException {
        Address node = fleet.callerAddress(0);
        Socket socket = new Socket(node.host(), node.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
        return socket;
    }

    private static String request(String path, HeaderField credentials) {
        String headers = Stream.concat(
                        FakeOperator.clientHeaders("raw", READ_TIMEOUT_MILLISECONDS).stream(), Stream.of(credentials))
                .map(header -> header.name() + ": " + header.value() + "\r\n")
                .collect(Collectors.joining());
        return "GET " + path + " HTTP/1.1\r\n" + headers + "\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads until the input contains a text; fails when it ends before. */
    private static String readUntil(Socket socket, String text) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf(text) < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("the connection ended after: " + read);
            }
            read.append((char) next);
        }
        return read.toString();
    }

    private static String text(BufferedResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    private static String base64(String text) {
        return Base64.getEncoder().withoutPadding().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
