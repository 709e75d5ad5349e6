package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

/** A node that held version 7 restarts: every state of the store against every state of its peers, in every order. */
class RestartFaultMatrixTest {
    private static final long HELD_BEFORE = 7;
    private static final long NEWEST = 8;
    private static final NodeId FIRST = NodeId.of("first");
    private static final NodeId SECOND = NodeId.of("second");
    private static final NodeId FAR = NodeId.of("far");

    /** What the platform's store says. */
    enum StoreState {
        DOWN(-1),
        EMPTY(0),
        RESTORED(5),
        SAME(7),
        NEWER(8);

        private final long head;

        StoreState(long head) {
            this.head = head;
        }
    }

    /** What a peer is and says; unreachable ones say nothing. */
    enum PeerState {
        UNREACHABLE(false, 0, 0),
        SILENT(false, 0, 0),
        RESTARTED(false, 0, 0),
        RESTARTED_WITH_OLD(false, 5, 5),
        BEHIND_AND_REMEMBERS(true, 6, 7),
        SAME(true, 7, 7),
        NEWER(true, 8, 8);

        private final boolean isReady;
        private final long held;
        private final long newestKnown;

        PeerState(boolean isReady, long held, long newestKnown) {
            this.isReady = isReady;
            this.held = held;
            this.newestKnown = newestKnown;
        }

        private boolean isReachable() {
            return this != UNREACHABLE;
        }

        private Optional<PeerVersionReport> answer(NodeId peer) {
            return this == UNREACHABLE || this == SILENT
                    ? Optional.empty()
                    : Optional.of(new PeerVersionReport(
                            peer, isReady, ConfigurationVersion.of(held), ConfigurationVersion.of(newestKnown)));
        }
    }

    static Stream<Arguments> cells() {
        return Arrays.stream(StoreState.values())
                .flatMap(store -> Arrays.stream(PeerState.values())
                        .flatMap(first -> Arrays.stream(PeerState.values())
                                .flatMap(second -> Arrays.stream(PeerState.values())
                                        .map(far -> Arguments.of(store, first, second, far)))));
    }

    @ParameterizedTest(name = "store {0}, zone {1} {2}, far {3}")
    @MethodSource("cells")
    void shouldBeReadyOnlyWithWhatWasHeldWhenAnyoneRemembers(
            StoreState store, PeerState first, PeerState second, PeerState far) {
        String fault = "STORE_" + store + "/" + first + "/" + second + "/FAR_" + far;
        FaultMatrix.cell("restart", "evidence", fault, "ready only at the floor, in every order", () -> {
            for (int order = 0; order < 6; order++) {
                for (long held : List.of(0L, 5L, 6L, HELD_BEFORE, NEWEST)) {
                    check(store, first, second, far, order, held);
                }
            }
        });
    }

    private static void check(
            StoreState store, PeerState first, PeerState second, PeerState far, int order, long held) {
        ReadinessGate floor = ReadinessGate.create();
        List<Runnable> evidence = new ArrayList<>();
        evidence.add(() -> first.answer(FIRST).ifPresent(floor::observePeer));
        evidence.add(() -> second.answer(SECOND).ifPresent(floor::observePeer));
        evidence.add(() -> {
            far.answer(FAR).ifPresent(floor::observePeer);
            observe(store, floor);
        });
        List<Runnable> ordered = new ArrayList<>(List.of(evidence.remove(order % 3)));
        ordered.add(evidence.remove(order / 3));
        ordered.addAll(evidence);
        List<NodeId> reachable = Stream.of(FIRST, SECOND)
                .filter(peer -> (peer.equals(FIRST) ? first : second).isReachable())
                .toList();
        boolean isRemembered = remembered(first, second) >= HELD_BEFORE;
        ConfigurationVersion floorBefore = ConfigurationVersion.none();
        for (Runnable next : ordered) {
            next.run();
            Readiness readiness = floor.assess(ConfigurationVersion.of(held), reachable);
            assertWithMessage("order %s", order).that(floor.minimumVersion()).isAtLeast(floorBefore);
            floorBefore = floor.minimumVersion();
            if (isRemembered && held < HELD_BEFORE) {
                assertWithMessage("order %s, held %s", order, held)
                        .that(readiness.isReady())
                        .isFalse();
            }
        }
        boolean isExpected = isAnswered(first)
                && isAnswered(second)
                && isVouched(store, first, second, far)
                && held >= Math.max(store.head, Math.max(remembered(first, second), far.newestKnown));
        assertWithMessage("order %s, held %s", order, held)
                .that(floor.assess(ConfigurationVersion.of(held), reachable).isReady())
                .isEqualTo(isExpected);
    }

    private static void observe(StoreState store, ReadinessGate floor) {
        if (store != StoreState.DOWN) {
            floor.observeHead(ConfigurationVersion.of(store.head));
        }
    }

    private static long remembered(PeerState first, PeerState second) {
        return Math.max(first.newestKnown, second.newestKnown);
    }

    private static boolean isAnswered(PeerState peer) {
        return peer != PeerState.SILENT;
    }

    private static boolean isVouched(StoreState store, PeerState first, PeerState second, PeerState far) {
        return store != StoreState.DOWN || first.isReady || second.isReady || far.isReady;
    }
}
