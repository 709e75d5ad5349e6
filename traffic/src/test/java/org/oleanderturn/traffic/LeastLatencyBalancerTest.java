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
import org.oleanderturn.model.ServiceName;

final class LeastLatencyBalancerTest {
    private static final double LOOKUP_BYTES = 2_500;
    private static final double DOWNLOAD_BYTES = 90_000;
    private static final Locality HERE = Locality.of("south", "hobart");

    private final AtomicLong clock = new AtomicLong();
    private final TargetLoadTracker loads = TargetLoadTracker.of(clock::get);
    private final LeastLatencyBalancer balancer =
            LeastLatencyBalancer.of(loads, HERE, clock::get, new SplittableRandom(1));
    private final Endpoint near = endpoint("near", HERE);
    private final Endpoint otherZone = endpoint("zone", Locality.of("south", "huonville"));
    private final Endpoint far = endpoint("far", Locality.of("north", "launceston"));

    @Test
    void shouldChooseTheNearestWhenAllAreIdle() {
        reportAll(new LoadReport(9, 0, 0, 30));
        assertThat(choose(LOOKUP_BYTES)).isEqualTo(near);
    }

    @Test
    void shouldChooseAnotherWhenTheNearestIsFull() {
        reportAll(new LoadReport(9, 0, 0, 30));
        loads.recordReport(near.node(), new LoadReport(9, 9, 8, 30));
        assertThat(choose(LOOKUP_BYTES)).isNotEqualTo(near);
    }

    @Test
    void shouldChooseTheFasterWhenBothAreBusy() {
        reportAll(new LoadReport(9, 9, 5, 90));
        loads.recordReport(far.node(), new LoadReport(9, 9, 5, 20));
        assertThat(choose(LOOKUP_BYTES)).isEqualTo(far);
    }

    @Test
    void shouldKeepADownloadInItsZoneWhenItCanBeServedThereInTime() {
        reportAll(new LoadReport(9, 2, 0, 30));
        loads.recordReport(near.node(), new LoadReport(9, 8, 0, 40));
        assertThat(choose(DOWNLOAD_BYTES)).isEqualTo(near);
    }

    @Test
    void shouldStayInTheRegionWhenTheTransferCostExceedsTheLatencySaved() {
        reportAll(new LoadReport(9, 5, 0, 60));
        loads.recordReport(far.node(), new LoadReport(9, 0, 0, 40));
        assertThat(choose(LOOKUP_BYTES * 2)).isNotEqualTo(far);
    }

    @Test
    void shouldLeaveTheRegionWhenItsTargetsWouldRespondLate() {
        reportAll(new LoadReport(9, 9, 12, 60));
        loads.recordReport(far.node(), new LoadReport(9, 1, 0, 40));
        assertThat(choose(LOOKUP_BYTES * 2)).isEqualTo(far);
    }

    @Test
    void shouldChooseAnotherWhenManyRequestsWereSentSinceTheReport() {
        reportAll(new LoadReport(2, 0, 0, 30));
        for (int request = 0; request < 6; request++) {
            loads.recordSent(near.node());
        }
        assertThat(choose(LOOKUP_BYTES)).isNotEqualTo(near);
    }

    @Test
    void shouldSkipExcludedTargetsAndUseAvoidedOnesWhenNoOtherIsLeft() {
        reportAll(new LoadReport(9, 0, 0, 30));
        loads.avoid(near.node(), 1_000);
        assertThat(choose(LOOKUP_BYTES)).isEqualTo(otherZone);
        assertThat(balancer.choose(List.of(near, far), Set.of(far.node()), LOOKUP_BYTES))
                .isEqualTo(Optional.of(near));
        assertThat(balancer.choose(List.of(near), Set.of(near.node()), LOOKUP_BYTES)
                        .isEmpty())
                .isTrue();
    }

    private void reportAll(LoadReport report) {
        List.of(near, otherZone, far).forEach(endpoint -> loads.recordReport(endpoint.node(), report));
    }

    private Endpoint choose(double bytes) {
        return balancer.choose(List.of(far, otherZone, near), Set.of(), bytes).orElseThrow();
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
