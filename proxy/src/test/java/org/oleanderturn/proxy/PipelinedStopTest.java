package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a request that runs at a listener that stops, and whose response is lost. */
@Timeout(120)
final class PipelinedStopTest {
    private static final int ROUNDS = 40;
    private static final int CONNECTIONS = 12;
    private static final int MOST_REQUESTS = 20;
    private static final int LONGEST_RUN_MILLISECONDS = 4;
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(20);

    private final Random random = new Random(31);
    private final Map<String, Integer> startedByConnection = new ConcurrentHashMap<>();

    /** The load: clients that pipeline up to 20 requests of random length, and a drain at a random moment among them. */
    @Test
    void shouldAnswerExactlyTheRequestsThatRanWhenTheListenerIsDrained() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            startedByConnection.clear();
            runRound();
        }
    }

    private void runRound() throws Exception {
        List<RawClient> clients = new ArrayList<>();
        try (HttpListener listener = HttpListener.start("127.0.0.1", 0, this::answer, ListenerLimits.defaults())
                .get()) {
            for (int connection = 0; connection < CONNECTIONS; connection++) {
                RawClient client = new RawClient(listener.address());
                clients.add(client);
                sendAll(client, connection);
            }
            Thread.sleep(random.nextInt(20));
            Thread drain = Thread.ofVirtual().start(() -> {
                listener.disableKeepAlive();
                assertThat(listener.drain(DRAIN_TIMEOUT)).isTrue();
            });
            for (int connection = 0; connection < CONNECTIONS; connection++) {
                int answered = countInOrder(clients.get(connection), connection);
                assertThat(answered).isEqualTo(startedByConnection.getOrDefault("c" + connection, 0));
                clients.get(connection).close();
            }
            drain.join();
        }
    }

    private void sendAll(RawClient client, int connection) throws IOException {
        StringBuilder requests = new StringBuilder();
        int count = 1 + random.nextInt(MOST_REQUESTS);
        for (int request = 0; request < count; request++) {
            String path = "/c" + connection + "/" + request;
            requests.append(
                    random.nextInt(6) > 0
                            ? RawClient.get(path)
                            : "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab");
        }
        int cut = random.nextInt(requests.length());
        client.send(requests.substring(0, cut));
        client.send(requests.substring(cut));
    }

    /** Reads responses until the connection ends, checks their order, and returns how many there were. */
    private static int countInOrder(RawClient client, int connection) throws IOException {
        int answered = 0;
        boolean isClosing = false;
        for (String response = client.readResponse(); !response.equals("end"); response = client.readResponse()) {
            assertThat(isClosing).isFalse();
            isClosing = response.startsWith("200 close");
            assertThat(response).endsWith(" /c" + connection + "/" + answered);
            answered++;
        }
        return answered;
    }

    private Response answer(InboundRequest request) throws IOException {
        String path = request.path();
        startedByConnection.merge(path.substring(1, path.indexOf('/', 1)), 1, Integer::sum);
        request.readBody(10);
        IoUtilities.sleep(Math.floorMod(path.hashCode(), LONGEST_RUN_MILLISECONDS));
        return Response.text(200, "text/plain", path);
    }
}
