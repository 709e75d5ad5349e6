package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;
import org.oleanderturn.traffic.Fingerprint;

class RoutedRequestReaderTest {
    private static final Fingerprint REQUEST = fingerprint("route", "host.example:8080");

    /** Guards against a crashing request, or a repeated booking, that counts as another one once a version renames its route. */
    @Test
    void shouldKeepTheFingerprintWhenAVersionRenamesTheRoute() {
        assertThat(fingerprint("renamed", "host.example:8080")).isEqualTo(REQUEST);
    }

    /** Guards against a harmless request that is refused with the crashing one of another host. */
    @Test
    void shouldDifferWhenTheRequestIsForAnotherHost() {
        assertThat(fingerprint("route", "other.example:8080")).isNotEqualTo(REQUEST);
    }

    @Test
    void shouldBeTheSameWhenTheHostIsWrittenWithoutItsPortOrInAnotherCase() {
        assertThat(fingerprint("route", "HOST.example")).isEqualTo(REQUEST);
    }

    private static Fingerprint fingerprint(String route, String host) {
        try {
            return RoutedRequestReader.read(new FakeRequest(host), routingEntry(route), () -> 0)
                    .get()
                    .fingerprint();
        } catch (IOException cause) {
            throw new AssertionError("a fake request can be read", cause);
        }
    }

    private static RoutingTable.Entry routingEntry(String name) {
        Service service = Service.of("service", 1, 1);
        TrafficPolicy policy = new TrafficPolicy(TrafficPolicyName.of("policy"), 2_000, 2, 20, 0, 0, 0, 0);
        Route route =
                Route.of(RouteName.of(name), "/", List.of("GET"), service.name(), RequestKind.LOOKUP, policy.name());
        return new RoutingTable.Entry(route, service, policy, List.of());
    }

    /** A lookup without a body. */
    private record FakeRequest(String host) implements InboundRequest {
        @Override
        public String method() {
            return "GET";
        }

        @Override
        public String path() {
            return "/path";
        }

        @Override
        public List<HeaderField> headers() {
            return List.of(HeaderField.of("Host", host));
        }

        @Override
        public Optional<byte[]> readBody(int limitBytes) {
            return Optional.of(new byte[0]);
        }

        @Override
        public Optional<byte[]> readBody(int limitBytes, Duration timeout) {
            return Optional.of(new byte[0]);
        }

        @Override
        public void onPeerDisconnect(Runnable action) {
            // The peer stays.
        }
    }
}
