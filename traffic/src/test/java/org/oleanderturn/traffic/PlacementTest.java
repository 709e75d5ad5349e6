package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.ServiceName;

final class PlacementTest {
    private static final Locality HERE = Locality.of("south", "hobart");

    private final AtomicLong clock = new AtomicLong();
    private final LoadBoard board = LoadBoard.of(clock::get);
    private final Placement placement = Placement.of(board, HERE, clock::get, new SplittableRandom(1));
    private final Endpoint near = endpoint("near", HERE);
    private final Endpoint zone = endpoint("zone", Locality.of("south", "huonville"));
    private final Endpoint far = endpoint("far", Locality.of("north", "launceston"));

    @Test
    void shouldChooseTheNearestWhenAllAreIdle() {
        reportAll(new LoadReport(9, 0, 0, 30));
        assertThat(choose(RequestKind.LOOKUP)).isEqualTo(near);
    }

    @Test
    void shouldChooseAnotherWhenTheNearestIsFull() {
        reportAll(new LoadReport(9, 0, 0, 30));
        board.report(near.node(), new LoadReport(9, 9, 8, 30));
        assertThat(choose(RequestKind.LOOKUP)).isNotEqualTo(near);
    }

    @Test
    void shouldChooseTheFasterWhenBothAreBusy() {
        reportAll(new LoadReport(9, 9, 5, 90));
        board.report(far.node(), new LoadReport(9, 9, 5, 20));
        assertThat(choose(RequestKind.LOOKUP)).isEqualTo(far);
    }

    @Test
    void shouldKeepADownloadInItsZoneWhenItCanBeServedThereInTime() {
        reportAll(new LoadReport(9, 2, 0, 30));
        board.report(near.node(), new LoadReport(9, 8, 0, 40));
        assertThat(choose(RequestKind.DOWNLOAD)).isEqualTo(near);
    }

    @Test
    void shouldCountWhatItSentSinceTheReport() {
        reportAll(new LoadReport(2, 0, 0, 30));
        for (int request = 0; request < 6; request++) {
            board.sent(near.node());
        }
        assertThat(choose(RequestKind.LOOKUP)).isNotEqualTo(near);
    }

    @Test
    void shouldLeaveOutTheExcludedAndComeBackToTheAvoidedLast() {
        reportAll(new LoadReport(9, 0, 0, 30));
        board.avoid(near.node(), 1_000);
        assertThat(choose(RequestKind.LOOKUP)).isEqualTo(zone);
        assertThat(placement.choose(List.of(near, far), Set.of(far.node()), RequestKind.LOOKUP))
                .isEqualTo(Optional.of(near));
        assertThat(placement
                        .choose(List.of(near), Set.of(near.node()), RequestKind.LOOKUP)
                        .isEmpty())
                .isTrue();
    }

    private void reportAll(LoadReport report) {
        List.of(near, zone, far).forEach(endpoint -> board.report(endpoint.node(), report));
    }

    private Endpoint choose(RequestKind kind) {
        return placement.choose(List.of(far, zone, near), Set.of(), kind).orElseThrow();
    }

    private static Endpoint endpoint(String name, Locality locality) {
        return new Endpoint(
                NodeId.of(name),
                Address.of("127.0.0.1", 1),
                locality,
                ServiceName.of("service"),
                9,
                EndpointState.READY,
                1);
    }
}
