package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;

final class EvenLoadBalancerTest {
    private static final double FEW_BYTES = 2_500;
    private static final double MANY_BYTES = 90_000;
    private static final int CHOICES = 2_000;
    private static final LoadReport IDLE = new LoadReport(9, 0, 0, 30);
    private static final LoadReport FULL = new LoadReport(9, 9, 3, 30);

    private final AtomicLong clock = new AtomicLong();
    private final TargetLoadTracker loads = TargetLoadTracker.of(clock::get);
    private final EvenLoadBalancer balancer =
            EvenLoadBalancer.of(loads, Fixtures.HOBART, clock::get, new SplittableRandom(1));
    private final Endpoint near = endpoint("near", Fixtures.HOBART);
    private final Endpoint alsoNear = endpoint("also-near", Fixtures.HOBART);
    private final Endpoint otherZone = endpoint("zone", Fixtures.HUONVILLE);
    private final Endpoint far = endpoint("far", Fixtures.LAUNCESTON);
    private final Endpoint alsoFar = endpoint("also-far", Fixtures.LAUNCESTON);
    private final List<Endpoint> all = List.of(far, alsoFar, otherZone, near, alsoNear);

    /** Fails when a target is avoided for a report that no longer tells anything, and so gets no newer one. */
    @Test
    void shouldNotAvoidATargetWhenItsReportIsOld() {
        reportAll(new LoadReport(9, 3, 0, 30));
        loads.recordReport(near.node(), FULL);
        assertThat(choose(List.of(near, alsoNear), FEW_BYTES)).doesNotContainKey(near);
        clock.set(Duration.ofSeconds(3).toNanos());
        loads.recordReport(alsoNear.node(), new LoadReport(9, 8, 0, 30));
        assertThat(choose(List.of(near, alsoNear, otherZone), FEW_BYTES)).containsExactly(near, CHOICES);
    }

    /** Fails when requests leave their region, whose link is paid by volume, while it has a free slot. */
    @Test
    void shouldStayInTheRegionWhenItHasRoom() {
        reportAll(new LoadReport(9, 6, 0, 30));
        loads.recordReport(far.node(), IDLE);
        loads.recordReport(alsoFar.node(), IDLE);
        Map<Endpoint, Integer> chosen = choose(all, FEW_BYTES);
        assertThat(chosen).doesNotContainKey(far);
        assertThat(chosen).doesNotContainKey(alsoFar);
    }

    /** Fails when a full region sends everything elsewhere, which would swing, or all of it to one target. */
    @Test
    void shouldSendAShareElsewhereWhenTheRegionIsFull() {
        reportAll(FULL);
        loads.recordReport(far.node(), IDLE);
        loads.recordReport(alsoFar.node(), new LoadReport(9, 3, 0, 30));
        Map<Endpoint, Integer> chosen = choose(all, FEW_BYTES);
        int elsewhere = chosen.getOrDefault(far, 0) + chosen.getOrDefault(alsoFar, 0);
        assertThat(elsewhere).isGreaterThan(CHOICES / 5);
        assertThat(elsewhere).isLessThan(CHOICES / 2);
        assertThat(chosen.get(alsoFar)).isGreaterThan(CHOICES / 20);
    }

    /** Fails when large responses fill the link between regions. */
    @Test
    void shouldKeepLargeResponsesInTheRegionWhenItIsFull() {
        reportAll(FULL);
        loads.recordReport(far.node(), IDLE);
        assertThat(choose(all, MANY_BYTES)).doesNotContainKey(far);
    }

    /** Fails when a request is refused again and again by a region that is full. */
    @Test
    void shouldLeaveTheRegionWhenTwoTargetsRefused() {
        reportAll(new LoadReport(9, 7, 0, 30));
        loads.recordReport(far.node(), IDLE);
        assertThat(balancer.choose(List.of(near, alsoNear, otherZone, far), Set.of(near.node(), alsoNear.node()), 0))
                .isEqualTo(Optional.of(far));
    }

    /** Fails when a region that was full some seconds ago gets nothing, so that no newer report comes of it. */
    @Test
    void shouldTryAnotherRegionWhenItsReportsAreOld() {
        reportAll(FULL);
        clock.set(Duration.ofSeconds(10).toNanos());
        List.of(near, alsoNear, otherZone).forEach(endpoint -> loads.recordReport(endpoint.node(), FULL));
        Map<Endpoint, Integer> chosen = choose(all, FEW_BYTES);
        assertThat(chosen.getOrDefault(far, 0)).isGreaterThan(CHOICES / 20);
    }

    /** Fails when a region is held for full because a third one is. */
    @Test
    void shouldTryAnotherRegionWhenAThirdOneIsFull() {
        Locality third = Locality.of("third", "zone");
        List<Endpoint> full =
                List.of(near, alsoNear, otherZone, endpoint("third-1", third), endpoint("third-2", third));
        loads.recordReport(far.node(), IDLE);
        clock.set(Duration.ofSeconds(10).toNanos());
        full.forEach(endpoint -> loads.recordReport(endpoint.node(), FULL));
        List<Endpoint> endpoints = Stream.concat(full.stream(), Stream.of(far)).toList();
        assertThat(balancer.choose(endpoints, Set.of(near.node(), alsoNear.node()), 0))
                .isEqualTo(Optional.of(far));
    }

    /** Fails when all entries send to the one target that had a free slot in the last report that they share. */
    @Test
    void shouldNotTrustAFreeSlotForLongWhenTheRegionHasFew() {
        List<Endpoint> region = List.of(near, alsoNear, otherZone);
        region.forEach(endpoint -> loads.recordReport(endpoint.node(), new LoadReport(9, 9, 1, 30)));
        loads.recordReport(alsoNear.node(), new LoadReport(9, 6, 0, 30));
        assertThat(choose(region, FEW_BYTES)).containsExactly(alsoNear, CHOICES);
        clock.set(Duration.ofMillis(60).toNanos());
        assertThat(choose(region, FEW_BYTES).getOrDefault(alsoNear, 0)).isLessThan(CHOICES * 9 / 10);
    }

    /** Fails when failed or closed targets are chosen while others accept, or none when no other is left. */
    @Test
    void shouldUseAvoidedTargetsOnlyWhenNoOtherIsLeft() {
        reportAll(IDLE);
        loads.avoid(near.node(), Duration.ofSeconds(1).toNanos());
        loads.recordReport(alsoNear.node(), new LoadReport(0, 0, 0, 30));
        assertThat(choose(List.of(near, alsoNear, otherZone), FEW_BYTES)).containsExactly(otherZone, CHOICES);
        assertThat(balancer.choose(List.of(near), Set.of(), FEW_BYTES)).isEqualTo(Optional.of(near));
        assertThat(balancer.choose(List.of(near), Set.of(near.node()), FEW_BYTES))
                .isEqualTo(Optional.empty());
    }

    /** Fails when nothing is sent to targets of which no report has come, as after a start. */
    @Test
    void shouldChooseATargetWhenNoReportIsKnown() {
        assertThat(choose(List.of(near), FEW_BYTES)).containsExactly(near, CHOICES);
    }

    private void reportAll(LoadReport report) {
        all.forEach(endpoint -> loads.recordReport(endpoint.node(), report));
    }

    private Map<Endpoint, Integer> choose(List<Endpoint> endpoints, double bytes) {
        Map<Endpoint, Integer> chosen = new HashMap<>();
        for (int choice = 0; choice < CHOICES; choice++) {
            chosen.merge(balancer.choose(endpoints, Set.of(), bytes).orElseThrow(), 1, Integer::sum);
        }
        return chosen;
    }

    private static Endpoint endpoint(String name, Locality locality) {
        return Fixtures.endpoint(name, locality, EndpointState.READY);
    }
}
