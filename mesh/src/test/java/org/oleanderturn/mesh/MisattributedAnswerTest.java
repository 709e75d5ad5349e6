package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.BodyReservation;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.traffic.CrashLedger;
import org.oleanderturn.traffic.InducedRetries;
import org.oleanderturn.traffic.LinkSchedule;
import org.oleanderturn.traffic.SlotQueue;
import org.oleanderturn.traffic.SlotTicket;

/** Tests the guard against targets that write answers of other requests, or answers that belong to none. */
@Timeout(60)
final class MisattributedAnswerTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final Duration TIME_LIMIT = Duration.ofSeconds(10);

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
    private final UpstreamClient client = UpstreamClient.of(1);

    @AfterEach
    void close() {
        client.close();
        executor.shutdownNow();
    }

    @Test
    void shouldDeliverTheOwnAnswerWhenAnEarlierRefusalComesBeforeIt() throws IOException {
        assertThat(replies(id -> refusal("Id: earlier\r\n") + success(id), "a1"))
                .containsExactly("ran 200 run of a1");
    }

    @Test
    void shouldDeliverEachOwnAnswerWhenEveryRefusalIsWrittenOnceMoreOnAKeptConnection() throws IOException {
        assertThat(replies(
                        id -> id.equals("a1") ? refusal("Id: a1\r\n") : refusal("Id: a1\r\n") + success(id),
                        "a1",
                        "a2"))
                .containsExactly("not run", "ran 200 run of a2")
                .inOrder();
    }

    @Test
    void shouldLeaveOpenWhetherTheRequestRanWhenARefusalNamesNoRequest() throws IOException {
        assertThat(replies(_ -> refusal(""), "a1")).containsExactly("unknown");
        assertThat(replies(_ -> "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", "a2"))
                .containsExactly("unknown");
    }

    @Test
    void shouldNotDeliverASuccessThatNamesNoRequest() throws IOException {
        assertThat(replies(id -> success(id).replace("Id: " + id + "\r\n", ""), "a1"))
                .containsExactly("unknown");
    }

    @Test
    void shouldNotDeliverAnEarlierAnswerThatComesAfterTheConnectionWasUsedAgain() throws IOException {
        assertThat(replies(id -> (id.equals("a1") ? "" : success("a1")) + success(id), "a1", "a2"))
                .containsExactly("ran 200 run of a1", "ran 200 run of a2")
                .inOrder();
    }

    // -- helpers

    private static String refusal(String idField) {
        return "HTTP/1.1 503 Busy\r\n" + idField + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    private static String success(String id) {
        String body = "run of " + id;
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: i-1\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /** Sends requests one after another to a target that writes what is given for the id of each. */
    private List<String> replies(UnaryOperator<String> answers, String... ids) throws IOException {
        try (ServerSocket target = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
            executor.execute(() -> accept(target, answers));
            MeshGuard guard = guard(Address.of("127.0.0.1", target.getLocalPort()));
            List<String> replies = new ArrayList<>();
            for (String id : ids) {
                replies.add(describe(guard.execute(request(id))));
            }
            assertThat(requests).containsExactlyElementsIn(ids).inOrder();
            requests.clear();
            return replies;
        }
    }

    private MeshGuard guard(Address address) {
        SlotQueue slots = SlotQueue.of(System::nanoTime);
        NodeId node = NodeId.of("own");
        LocalTarget localTarget = LocalTarget.of(node, SERVICE, slots, Duration.ofMinutes(1), System::nanoTime);
        localTarget.applyReport(new TargetReport(new TargetStart("i-1", 1), 1, SERVICE, 9, false));
        return MeshGuard.of(
                address,
                localTarget,
                slots,
                client,
                SlotTicket::await,
                new FakeProtocolAdapter(Optional.empty()),
                CrashMonitor.of(node, CrashLedger.of(() -> 0), _ -> {}, System::nanoTime),
                _ -> {},
                ResponsePacer.of(LinkSchedule.unlimited(System::nanoTime), Thread::sleep),
                InducedRetries.none(),
                System::nanoTime);
    }

    private static GuardRequest request(String id) {
        GuardRequestMetadata metadata = new GuardRequestMetadata(
                SERVICE,
                ServiceName.of("caller"),
                RequestKind.SINGLE,
                1,
                TIME_LIMIT,
                Duration.ofMillis(600),
                Duration.ZERO,
                1,
                false,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
        return new GuardRequest(
                "GET",
                "/a/x",
                List.of(HeaderField.of("Id", id)),
                new byte[0],
                RequestIdentity.of("GET", "/a/x", new byte[0]),
                new ClientRequestMetadata(id, Optional.of(TIME_LIMIT), "host.example"),
                metadata,
                Duration.ZERO,
                TIME_LIMIT,
                BodyReservation.unlimited(),
                Cancellation.create());
    }

    private static String describe(GuardReply reply) {
        return switch (reply) {
            case GuardReply.Ran ran ->
                "ran " + ran.response().status() + " "
                        + new String(ran.response().body(), StandardCharsets.UTF_8);
            case GuardReply.NotRun _ -> "not run";
            case GuardReply.Unknown _ -> "unknown";
            case GuardReply.Quarantined _, GuardReply.Abandoned _ -> "other";
        };
    }

    private void accept(ServerSocket target, UnaryOperator<String> answers) {
        try {
            while (true) {
                Socket socket = target.accept();
                executor.execute(() -> serve(socket, answers));
            }
        } catch (IOException closed) {
            // The test has closed the target.
        }
    }

    private void serve(Socket socket, UnaryOperator<String> answers) {
        try (socket) {
            InputStream input = socket.getInputStream();
            OutputStream output = socket.getOutputStream();
            for (Optional<String> id = readId(input); id.isPresent(); id = readId(input)) {
                requests.add(id.get());
                output.write(answers.apply(id.get()).getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException closed) {
            // The client closes a connection that it does not use again.
        }
    }

    /** Reads the head of a request without a body; empty at the end of the connection. */
    private static Optional<String> readId(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return Optional.empty();
            }
            head.append((char) next);
        }
        int start = head.indexOf("Id: ") + "Id: ".length();
        return Optional.of(head.substring(start, head.indexOf("\r\n", start)));
    }
}
