package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.traffic.SlotQueue;

final class TargetCallHandlerTest {
    private static final ServiceName SERVICE = ServiceName.of("bookings");
    private static final TargetStart START = new TargetStart("i-1", 1_000);

    private final AtomicReference<Response> healthResponse = new AtomicReference<>();
    private final HttpListener target = HttpListener.start(
                    "127.0.0.1", 0, _ -> healthResponse.get(), ListenerLimits.defaults())
            .get();
    private final UpstreamClient client = UpstreamClient.of(1);
    private final AtomicReference<TargetCall> call = new AtomicReference<>();
    private final LocalTarget localTarget = LocalTarget.of(
            NodeId.of("node-1"), SERVICE, SlotQueue.of(System::nanoTime), Duration.ofSeconds(5), System::nanoTime);
    private final ProtocolAdapter adapter = new ProtocolAdapter() {
        private final ProtocolAdapter delegate = new FakeProtocolAdapter(Optional.empty());

        @Override
        public ClientRequestMetadata clientMetadata(InboundRequest request) {
            return delegate.clientMetadata(request);
        }

        @Override
        public List<HeaderField> withoutCredentials(List<HeaderField> received) {
            return received;
        }

        @Override
        public List<HeaderField> targetHeaders(
                List<HeaderField> received,
                ClientRequestMetadata client,
                ServiceName caller,
                Optional<OrganisationName> organisation,
                Duration remaining,
                String instance) {
            return received;
        }

        @Override
        public String timeLimitHeader() {
            return delegate.timeLimitHeader();
        }

        @Override
        public TargetResponseMetadata responseMetadata(List<HeaderField> headers) {
            return new TargetResponseMetadata(
                    Optional.empty(),
                    false,
                    false,
                    HeaderField.find(headers, "Instance"),
                    Optional.of(TargetSignals.none()));
        }

        @Override
        public TargetCall targetCall(InboundRequest request) {
            return call.get();
        }

        @Override
        public boolean isReadinessCheck(InboundRequest request) {
            return false;
        }

        @Override
        public String healthPath() {
            return "/healthResponse";
        }
    };
    private final TargetCallHandler handler =
            TargetCallHandler.of(adapter, localTarget, TargetHealthCheck.of(target.address(), client, adapter));

    @AfterEach
    void close() {
        client.close();
        target.close();
    }

    @Test
    void shouldOpenWhenAHealthyTargetReportsForTheFirstTime() throws IOException {
        healthResponse.set(healthResponse(200, "i-1"));
        report(5);
        assertThat(localTarget.activeStart()).isEqualTo(Optional.of(START));
    }

    @Test
    void shouldNotOpenWhenALeavingTargetsDelayedReportArrivesAfterARestartOfTheNode() throws IOException {
        healthResponse.set(healthResponse(503, "i-1"));
        report(5);
        assertThat(localTarget.activeStart()).isEqualTo(Optional.empty());
    }

    @Test
    void shouldNotOpenWhenAnotherInstanceRespondsAtTheAddress() throws IOException {
        healthResponse.set(healthResponse(200, "i-2"));
        report(5);
        assertThat(localTarget.activeStart()).isEqualTo(Optional.empty());
    }

    /** Any number of reports from before a deregistration may arrive late, as review/1 shows. */
    @Test
    void shouldStayClosedWhileTheHealthCheckContradictsEveryReport() throws IOException {
        healthResponse.set(healthResponse(503, "i-1"));
        for (int sequence = 5; sequence < 15; sequence++) {
            report(sequence);
            assertThat(localTarget.activeStart()).isEqualTo(Optional.empty());
        }
        healthResponse.set(healthResponse(200, "i-1"));
        report(15);
        assertThat(localTarget.activeStart()).isEqualTo(Optional.of(START));
    }

    @Test
    void shouldBeClosedWhenADeregistrationIsAnswered() throws IOException {
        healthResponse.set(healthResponse(200, "i-1"));
        report(5);
        call.set(new TargetCall.Deregistration("i-1", java.util.OptionalLong.empty()));
        assertThat(handler.handle(FakeRequest.of("/")).status()).isEqualTo(200);
        assertThat(localTarget.activeStart()).isEqualTo(Optional.empty());
    }

    @Test
    void shouldChangeNothingWhenACallIsMalformed() throws IOException {
        healthResponse.set(healthResponse(200, "i-1"));
        report(5);
        call.set(new TargetCall.Malformed("bytes"));
        assertThat(handler.handle(FakeRequest.of("/")).status()).isEqualTo(400);
        assertThat(localTarget.activeStart()).isEqualTo(Optional.of(START));
    }

    /** Another writer's heartbeat must not take the target out of use, nor hide that it leaves. */
    @Test
    void shouldIgnoreAReportOfAnotherTargetWhileTheTargetResponds() throws IOException {
        healthResponse.set(healthResponse(200, "i-1"));
        report(5);
        call.set(heartbeat(target.address(), new TargetStart("forged", 2_000), 1));
        assertThat(handler.handle(FakeRequest.of("/")).status()).isEqualTo(200);
        assertThat(localTarget.activeStart()).isEqualTo(Optional.of(START));
    }

    @Test
    void shouldFollowTheNextProcessWhenItIsAnotherInstance() throws IOException {
        healthResponse.set(healthResponse(200, "i-1"));
        report(5);
        TargetStart next = new TargetStart("i-2", 2_000);
        healthResponse.set(healthResponse(200, "i-2"));
        call.set(heartbeat(target.address(), next, 1));
        assertThat(handler.handle(FakeRequest.of("/")).status()).isEqualTo(200);
        assertThat(localTarget.activeStart()).isEqualTo(Optional.of(next));
    }

    @Test
    void shouldRefuseAReportWhenItNamesAnotherAddress() throws IOException {
        healthResponse.set(healthResponse(200, "i-1"));
        report(5);
        call.set(heartbeat(Address.of("127.0.0.1", 1), new TargetStart("i-1", 2_000), 6));
        assertThat(handler.handle(FakeRequest.of("/")).status()).isEqualTo(400);
        assertThat(localTarget.activeStart()).isEqualTo(Optional.of(START));
    }

    private void report(long sequence) throws IOException {
        call.set(heartbeat(target.address(), START, sequence));
        assertThat(handler.handle(FakeRequest.of("/")).status()).isEqualTo(200);
    }

    private static TargetCall heartbeat(Address address, TargetStart start, long sequence) {
        return new TargetCall.Heartbeat(address, new TargetReport(start, sequence, SERVICE, 9, false));
    }

    private static Response healthResponse(int status, String instance) {
        return Response.text(status, "text/plain", "x").withHeader("Instance", instance);
    }
}
