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

/** Restarts a node that held version 7, with every state of the store and of its peers, in every order of evidence. */
class RestartFaultMatrixTest {
    private static final long HELD_BEFORE = 7;
    private static final long NEWEST = 8;
    private static final NodeId FIRST = NodeId.of("first");
    private static final NodeId SECOND = NodeId.of("second");
    private static final NodeId FAR = NodeId.of("far");

    /** The head that the platform's store returns. */
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

    /** The state of a peer and the versions that it reports; unreachable and silent peers report nothing. */
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

        private Optional<PeerVersionReport> report(NodeId peer) {
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
    void shouldBeReadyOnlyWithThePreviouslyHeldVersionWhenAPeerRemembersIt(
            StoreState store, PeerState first, PeerState second, PeerState far) {
        String fault = "STORE_" + store + "/" + first + "/" + second + "/FAR_" + far;
        FaultMatrix.cell(
                "restart", "evidence", fault, "ready only from the lowest allowed version on, in every order", () -> {
                    for (int order = 0; order < 6; order++) {
                        for (long held : List.of(0L, 5L, 6L, HELD_BEFORE, NEWEST)) {
                            check(store, first, second, far, order, held);
                        }
                    }
                });
    }

    private static void check(
            StoreState store, PeerState first, PeerState second, PeerState far, int order, long held) {
        ReadinessGate gate = ReadinessGate.create();
        List<Runnable> evidence = new ArrayList<>();
        evidence.add(() -> first.report(FIRST).ifPresent(gate::observePeer));
        evidence.add(() -> second.report(SECOND).ifPresent(gate::observePeer));
        evidence.add(() -> {
            far.report(FAR).ifPresent(gate::observePeer);
            observe(store, gate);
        });
        List<Runnable> ordered = new ArrayList<>(List.of(evidence.remove(order % 3)));
        ordered.add(evidence.remove(order / 3));
        ordered.addAll(evidence);
        List<NodeId> reachable = Stream.of(FIRST, SECOND)
                .filter(peer -> (peer.equals(FIRST) ? first : second).isReachable())
                .toList();
        boolean isRemembered = newestRemembered(first, second) >= HELD_BEFORE;
        ConfigurationVersion minimumBefore = ConfigurationVersion.none();
        for (Runnable next : ordered) {
            next.run();
            Readiness readiness = gate.assess(ConfigurationVersion.of(held), reachable);
            assertWithMessage("order %s", order).that(gate.minimumVersion()).isAtLeast(minimumBefore);
            minimumBefore = gate.minimumVersion();
            if (isRemembered && held < HELD_BEFORE) {
                assertWithMessage("order %s, held %s", order, held)
                        .that(readiness.isReady())
                        .isFalse();
            }
        }
        boolean isExpected = isNotSilent(first)
                && isNotSilent(second)
                && isConfirmed(store, first, second, far)
                && held >= Math.max(store.head, Math.max(newestRemembered(first, second), far.newestKnown));
        assertWithMessage("order %s, held %s", order, held)
                .that(gate.assess(ConfigurationVersion.of(held), reachable).isReady())
                .isEqualTo(isExpected);
    }

    private static void observe(StoreState store, ReadinessGate gate) {
        if (store != StoreState.DOWN) {
            gate.observeHead(ConfigurationVersion.of(store.head));
        }
    }

    private static long newestRemembered(PeerState first, PeerState second) {
        return Math.max(first.newestKnown, second.newestKnown);
    }

    private static boolean isNotSilent(PeerState peer) {
        return peer != PeerState.SILENT;
    }

    private static boolean isConfirmed(StoreState store, PeerState first, PeerState second, PeerState far) {
        return store != StoreState.DOWN || first.isReady || second.isReady || far.isReady;
    }
}
