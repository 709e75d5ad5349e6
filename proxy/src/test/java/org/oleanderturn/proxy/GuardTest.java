package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.traffic.DeadlineBudget;
import org.oleanderturn.traffic.Fingerprint;
import org.oleanderturn.traffic.RequestSender;

/** Tests which requests a guard forwards to its target, and on which connection. */
@Timeout(60)
class GuardTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Fingerprint FINGERPRINT =
            Fingerprint.ofRequest("POST", "host.example", "/booking", RequestSender.unknown(), new byte[0]);

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final UpstreamClient client = UpstreamClient.of(4);
    private FakeHost host;

    @BeforeEach
    void start() throws IOException {
        host = new FakeHost(
                "near", FakeHost.SERVICE, executor, _ -> FaultRelay.FaultAction.PASS, _ -> FaultRelay.FaultAction.PASS);
    }

    @AfterEach
    void stop() {
        host.close();
        client.close();
        executor.shutdownNow();
    }

    @Test
    void shouldRunAClaimOnceWhenItIsSentTwice() throws IOException {
        assertThat(outcomeOf(Optional.of("claim"))).isEqualTo(RequestOutcome.RAN);
        assertThat(outcomeOf(Optional.of("claim"))).isEqualTo(RequestOutcome.UNKNOWN);
        assertThat(outcomeOf(Optional.of("other"))).isEqualTo(RequestOutcome.RAN);
        assertThat(host.target().runs()).hasSize(2);
    }

    @Test
    void shouldAcceptAClaimAgainWhenTheTargetShedIt() throws IOException {
        host.target().setShedding(true);
        assertThat(outcomeOf(Optional.of("claim"))).isEqualTo(RequestOutcome.NOT_RUN);
        host.target().setShedding(false);

        assertThat(outcomeOf(Optional.of("claim"))).isEqualTo(RequestOutcome.RAN);
        assertThat(host.target().runs()).hasSize(1);
    }

    @Test
    void shouldRejectRequestsWhenDraining() throws IOException {
        host.drain();

        assertThat(outcomeOf(Optional.of("claim"))).isEqualTo(RequestOutcome.NOT_RUN);
        assertThat(host.target().runs()).isEmpty();
    }

    @Test
    void shouldOpenANewConnectionWhenTheRequestIsABooking() {
        assertThat(sendPolicyOf(RequestKind.BOOKING)).isEqualTo(SendPolicy.NEW_CONNECTION);
        assertThat(sendPolicyOf(RequestKind.LOOKUP)).isEqualTo(SendPolicy.POOLED);
    }

    private static SendPolicy sendPolicyOf(RequestKind kind) {
        DeadlineBudget deadline = DeadlineBudget.of(() -> 0, TIMEOUT);
        GuardedRequest request = new GuardedRequest(
                "POST", "/booking", List.of(), FakeHost.SERVICE, kind, FINGERPRINT, deadline, Optional.empty(), false);
        return request.toTarget(new byte[0], TIMEOUT).sendPolicy();
    }

    private RequestOutcome outcomeOf(Optional<String> claim) throws IOException {
        List<HeaderField> headers = new ArrayList<>();
        headers.add(HeaderField.of(ProxyHeaders.SERVICE, FakeHost.SERVICE));
        headers.add(HeaderField.of(ProxyHeaders.KIND, RequestKind.BOOKING));
        headers.add(HeaderField.of(ProxyHeaders.FINGERPRINT, FINGERPRINT));
        headers.add(HeaderField.of(ProxyHeaders.DEADLINE, TIMEOUT.toMillis()));
        headers.add(HeaderField.of(ProxyHeaders.REQUEST_ID, "request"));
        claim.ifPresent(token -> headers.add(HeaderField.of(ProxyHeaders.CLAIM, token)));
        OutboundRequest request = new OutboundRequest(
                "POST", "/booking", headers, new byte[] {1}, SendPolicy.EXPECT_CONTINUE, TIMEOUT, TIMEOUT);
        try (UpstreamResponse response = client.send(host.endpoint().address(), request, Cancellation.create())
                .get()) {
            var _ = response.readBody(1_000).orElseThrow();
            return RequestOutcome.parse(response.header(ProxyHeaders.OUTCOME).orElseThrow())
                    .orElseThrow();
        }
    }
}
