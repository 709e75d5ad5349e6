package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.Fingerprint;
import org.oleanderturn.traffic.RequestSender;

final class RequestIdentityTest {
    private static final ServiceName CALLER = ServiceName.of("caller");
    private static final ServiceName OTHER_CALLER = ServiceName.of("other-caller");
    private static final Optional<OrganisationName> ANONYMOUS = Optional.empty();
    private static final Optional<OrganisationName> ORGANISATION = Optional.of(OrganisationName.of("organisation"));
    private static final byte[] EMPTY = new byte[0];

    private static final Fingerprint REQUEST = fingerprint("GET", "host.example", "/a/1?b=2", CALLER, ANONYMOUS, EMPTY);

    private static Fingerprint fingerprint(
            String method,
            String host,
            String path,
            ServiceName caller,
            Optional<OrganisationName> organisation,
            byte[] body) {
        return RequestIdentity.of(method, host, path, RequestSender.of(caller, organisation), body)
                .fingerprint();
    }

    /** Guards against a harmless request that clears a crashing one, or is refused with it, as it shares a part of it. */
    @Test
    void shouldDifferWhenTheTargetIsSentAnotherRequest() {
        List<Fingerprint> others = List.of(
                fingerprint("HEAD", "host.example", "/a/1?b=2", CALLER, ANONYMOUS, EMPTY),
                fingerprint("GET", "other.example", "/a/1?b=2", CALLER, ANONYMOUS, EMPTY),
                fingerprint("GET", "host.example", "/a/2?b=2", CALLER, ANONYMOUS, EMPTY),
                fingerprint("GET", "host.example", "/a/1?b=3", CALLER, ANONYMOUS, EMPTY),
                fingerprint("GET", "host.example", "/a/1?b=2", OTHER_CALLER, ANONYMOUS, EMPTY),
                fingerprint("GET", "host.example", "/a/1?b=2", CALLER, ORGANISATION, EMPTY),
                fingerprint("GET", "host.example", "/a/1?b=2", CALLER, ANONYMOUS, "body".getBytes(UTF_8)));
        assertThat(Stream.concat(Stream.of(REQUEST), others.stream()).distinct().count())
                .isEqualTo(others.size() + 1);
    }

    /** Guards against a crashing request that is counted anew because its client writes the host in another case. */
    @Test
    void shouldBeTheSameWhenOnlyTheCaseOfTheHostDiffers() {
        assertThat(fingerprint("GET", "Host.EXAMPLE", "/a/1?b=2", CALLER, ANONYMOUS, EMPTY))
                .isEqualTo(REQUEST);
    }

    /** Guards against parts that run into each other. */
    @Test
    void shouldDifferWhenTheSameTextIsSplitOtherwise() {
        assertThat(fingerprint("GET", "host.exampl", "e/a/1?b=2", CALLER, ANONYMOUS, EMPTY))
                .isNotEqualTo(REQUEST);
    }
}
